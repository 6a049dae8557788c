package org.apricotstand.standin.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A Java process with the class path of this one, whose output is collected.
 *
 * <pre>{@code
 * ChildProcess process = ChildProcess.start("entry-1", options, List.of("Main", "entry"), Map.of());
 * process.pause();
 * process.kill();
 * }</pre>
 */
public final class ChildProcess {

  private static final long STOP_TIMEOUT_MS = 60_000;

  private final String name;
  private final Process process;
  private final List<String> output = new ArrayList<>();

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    Thread.ofVirtual().start(this::collectOutput);
  }

  /**
   * Starts a process.
   *
   * @param name name for error messages
   * @param jvmOptions options of the Java runtime
   * @param mainAndArguments name of the main class, and its arguments
   * @param environment environment variables besides those of this process
   */
  public static ChildProcess start(
      String name,
      List<String> jvmOptions,
      List<String> mainAndArguments,
      Map<String, String> environment)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    if (Runtime.version().feature() >= 23) {
      command.add("--sun-misc-unsafe-memory-access=allow");
    }
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(mainAndArguments);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(environment);
    return new ChildProcess(name, builder.start());
  }

  private void collectOutput() {
    try (BufferedReader reader = process.inputReader()) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        synchronized (output) {
          output.add(line);
        }
      }
    } catch (IOException e) {
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
    // Process.destroy() would close the output, and with it the log of the drain.
    process.toHandle().destroy();
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
