package org.apricotstand.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apricotstand.observe.EventLog;

/**
 * Loads the classes that an instance needs once it serves, so that the archive of classes that a
 * build records contains them. A restarted process then reads no class from a file while requests
 * already arrive.
 *
 * <pre>{@code
 * int loaded = ArchivedClasses.load(Path.of("deploy/archive-classes.txt"));
 * }</pre>
 */
public final class ArchivedClasses {

  private static final EventLog LOG = EventLog.of(ArchivedClasses.class);

  private ArchivedClasses() {}

  /**
   * Loads the classes named in a file, one a line. A class that does not exist is logged and left
   * out, since the list may be older than the code.
   *
   * @return number of classes loaded
   * @throws IOException when the file cannot be read
   */
  public static int load(Path names) throws IOException {
    return (int) Files.readAllLines(names).stream().filter(ArchivedClasses::loads).count();
  }

  private static boolean loads(String name) {
    try {
      Class.forName(name, false, ArchivedClasses.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      LOG.warn("class_not_archived", "class", name, "error", e.toString());
      return false;
    }
  }
}
