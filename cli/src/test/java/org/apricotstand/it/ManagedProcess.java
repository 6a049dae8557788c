package org.apricotstand.it;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the command line that a test started. */
public final class ManagedProcess {

  private static final long START_LIMIT_MS = 60_000;
  private static final long STOP_LIMIT_MS = 60_000;
  private static final Pattern READY = Pattern.compile("^ready .*?:(\\d+)( .*)?$");
  // Serial collector and first compiler tier: many short-lived processes start on one machine.
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final String name;
  private final Process process;
  private final List<String> output = new ArrayList<>();

  private ManagedProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    Thread.ofVirtual().start(this::collect);
  }

  /** Starts {@code Main} with the class path of the running test. */
  static ManagedProcess start(String name, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_OPTIONS);
    if (Runtime.version().feature() >= 23) {
      command.add("--sun-misc-unsafe-memory-access=allow");
    }
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "org.apricotstand.cli.Main"));
    command.addAll(arguments);
    return new ManagedProcess(name, new ProcessBuilder(command).redirectErrorStream(true).start());
  }

  private void collect() {
    try (BufferedReader reader = process.inputReader()) {
      reader
          .lines()
          .forEach(
              line -> {
                synchronized (output) {
                  output.add(line);
                }
              });
    } catch (java.io.UncheckedIOException | IOException e) {
      // The pipe closes with the process.
      return;
    }
  }

  /** Returns the lines that the process printed so far. */
  public List<String> output() {
    synchronized (output) {
      return List.copyOf(output);
    }
  }

  /** Waits for the ready line and returns the address in it. */
  InetSocketAddress awaitReady() {
    try {
      return awaitLine(READY, START_LIMIT_MS);
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + "\n" + String.join("\n", output()), e);
    }
  }

  private InetSocketAddress awaitLine(Pattern pattern, long limitMs) {
    int[] port = new int[1];
    Await.until(
        name + " is ready",
        limitMs,
        () -> {
          if (!process.isAlive()) {
            throw new AssertionError(name + " ended early:\n" + String.join("\n", output()));
          }
          for (String line : output()) {
            Matcher matcher = pattern.matcher(line);
            if (matcher.matches()) {
              port[0] = Integer.parseInt(matcher.group(1));
              return true;
            }
          }
          return false;
        });
    return new InetSocketAddress("127.0.0.1", port[0]);
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process at once (SIGKILL). */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Asks the process to stop gracefully (SIGTERM); does not wait. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the end of the process and returns its exit code. */
  public int awaitExit() {
    try {
      if (!process.waitFor(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)) {
        throw new AssertionError(name + " did not end");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Stops the process where it is (SIGSTOP). */
  public void pause() {
    signal("STOP");
  }

  /** Lets a paused process go on (SIGCONT). */
  public void resume() {
    signal("CONT");
  }

  private void signal(String signal) {
    try {
      new ProcessBuilder("sh", "-c", "kill -" + signal + " " + pid()).start().waitFor();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
