package org.apricotstand.it;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotstand.standin.process.Await;
import org.apricotstand.standin.process.ChildProcess;

/** Process of the command-line program, started by a test. */
public final class ManagedProcess {

  private static final long START_TIMEOUT_MS = 60_000;
  private static final Pattern READY_LINE = Pattern.compile("^ready .*?:(\\d+)( .*)?$");
  // Serial GC and only the C1 compiler, since many short-lived processes start on one machine.
  private static final List<String> JVM_OPTIONS =
      List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private final String name;
  private final ChildProcess process;

  private ManagedProcess(String name, ChildProcess process) {
    this.name = name;
    this.process = process;
  }

  /** Starts the command-line program with the class path of the running test. */
  static ManagedProcess start(String name, List<String> arguments) throws IOException {
    return start(name, JVM_OPTIONS, arguments);
  }

  /** Starts the command-line program with options of the Java runtime of its own. */
  static ManagedProcess start(String name, List<String> jvmOptions, List<String> arguments)
      throws IOException {
    List<String> mainAndArguments = new ArrayList<>();
    mainAndArguments.add("org.apricotstand.cli.Main");
    mainAndArguments.addAll(arguments);
    return new ManagedProcess(
        name, ChildProcess.start(name, jvmOptions, mainAndArguments, Map.of()));
  }

  /** Returns the lines that the process has written so far to standard output and error. */
  public List<String> output() {
    return process.output();
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
    process.kill();
  }

  /** Asks the process to stop gracefully (SIGTERM); does not wait. */
  public void terminate() {
    process.terminate();
  }

  /** Waits for the end of the process and returns its exit code. */
  public int awaitExit() {
    return process.awaitExit();
  }

  /** Suspends the process (SIGSTOP). */
  public void pause() {
    process.pause();
  }

  /** Resumes a paused process (SIGCONT). */
  public void resume() {
    process.resume();
  }
}
