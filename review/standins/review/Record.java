package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the file of a case, with the time since its start. */
final class Record implements AutoCloseable {

  private final PrintWriter writer;
  private final long startMs = Clock.nowMs();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  synchronized void add(String format, Object... arguments) {
    double seconds = (Clock.nowMs() - startMs) / 1_000.0;
    String text = String.format(Locale.ROOT, format, arguments);
    writer.printf(Locale.ROOT, "%8.3f %s%n", seconds, text);
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
