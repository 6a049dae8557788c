import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what a case sent, answered and ran, one line an event, with the time since the start. */
final class RunRecord implements AutoCloseable {
  private static final long START_NS = System.nanoTime();
  private final PrintWriter out;

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static long nowMs() {
    return (System.nanoTime() - START_NS) / 1_000_000;
  }

  synchronized void add(String event, Object... pairs) {
    StringBuilder line = new StringBuilder(nowMs() + " " + event);
    for (int i = 0; i < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    }
    out.println(line);
  }

  /** Writes a line that is also shown to whoever runs the case. */
  void say(String text) {
    System.out.println(text);
    add("note", "text", text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
