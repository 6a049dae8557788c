package org.apricotstand.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apricotstand.observe.EventLog;

/**
 * Loads the classes that an instance uses while it serves, so that the class archive that a build
 * records contains them. A restarted process then does not load classes from files while it
 * receives requests.
 *
 * <pre>{@code
 * int loaded = ArchivedClasses.load(Path.of("deploy/archive-classes.txt"));
 * }</pre>
 */
public final class ArchivedClasses {

  private static final EventLog LOG = EventLog.of(ArchivedClasses.class);

  private ArchivedClasses() {}

  /**
   * Loads the classes named in a file, one per line. A class that does not exist is logged and
   * skipped, since the list may be older than the code.
   *
   * @return number of classes loaded
   * @throws IOException when the file cannot be read
   */
  public static int load(Path classList) throws IOException {
    return (int) Files.readAllLines(classList).stream().filter(ArchivedClasses::tryLoad).count();
  }

  private static boolean tryLoad(String name) {
    try {
      Class.forName(name, false, ArchivedClasses.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      LOG.warn("class_not_archived", "class", name, "error", e.toString());
      return false;
    }
  }
}
