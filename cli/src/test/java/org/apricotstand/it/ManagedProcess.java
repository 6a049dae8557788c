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

/** Process of the command-line program, started by a test. */
public final class ManagedProcess {

  private static final long START_TIMEOUT_MS = 60_000;
  private static final long STOP_TIMEOUT_MS = 60_000;
  private static final Pattern READY_LINE = Pattern.compile("^ready .*?:(\\d+)( .*)?$");
  // Serial GC and only the C1 compiler, since many short-lived processes start on one machine.
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final String name;
  private final Process process;
  private final List<String> output = new ArrayList<>();

  private ManagedProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    Thread.ofVirtual().start(this::collectOutput);
  }

  /** Starts the command-line program with the class path of the running test. */
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

  private void collectOutput() {
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
      // The pipe is closed when the process ends.
      return;
    }
  }

  /** Returns the lines that the process has written so far to standard output and error. */
  public List<String> output() {
    synchronized (output) {
      return List.copyOf(output);
    }
  }

  /** Waits for the ready line and returns the first address in it. */
  InetSocketAddress awaitReady() {
    try {
      return awaitAddress(READY_LINE, START_TIMEOUT_MS);
    } catch (AssertionError e) {
      throw new AssertionError(e.getMessage() + "\n" + String.join("\n", output()), e);
    }
  }

  private InetSocketAddress awaitAddress(Pattern pattern, long timeoutMs) {
    int[] port = new int[1];
    Await.until(
        name + " is ready",
        timeoutMs,
        () -> {
          if (!process.isAlive()) {
            throw new AssertionError(
                name + " ended before it was ready:\n" + String.join("\n", output()));
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

  /** Returns whether the process has not ended; a paused process is alive. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process (SIGKILL) and waits for its end. */
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
      if (!process.waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        throw new AssertionError(name + " did not end");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Suspends the process (SIGSTOP). */
  public void pause() {
    signal("STOP");
  }

  /** Resumes a paused process (SIGCONT). */
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
