package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record implements AutoCloseable {

  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  synchronized void add(String format, Object... arguments) {
    out.printf("%7d %s%n", nowMs(), String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
