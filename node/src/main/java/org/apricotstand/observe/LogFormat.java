package org.apricotstand.observe;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line of key=value pairs, starting with time and level. */
public final class LogFormat extends Formatter {

  private static final String MANAGER_PROPERTY = "java.util.logging.manager";

  /**
   * Installs the format on the handlers of the root logger and sets the level. Must run before any
   * logger is created, otherwise the handlers are removed as soon as the process is told to stop.
   */
  public static void install(Level level) {
    // Do not initialize the class here: that would install the default log manager first.
    System.setProperty(MANAGER_PROPERTY, ShutdownLogManager.class.getName());
    Logger root = Logger.getLogger("");
    root.setLevel(Level.INFO);
    Logger.getLogger("org.apricotstand").setLevel(level);
    for (Handler handler : root.getHandlers()) {
      handler.setLevel(level);
      handler.setFormatter(new LogFormat());
    }
  }

  @Override
  public String format(LogRecord record) {
    String message = formatMessage(record);
    String pairs = message.startsWith("event=") ? message : libraryLine(record, message);
    return "time="
        + Instant.ofEpochMilli(record.getMillis())
        + " level="
        + record.getLevel().getName()
        + " "
        + pairs
        + System.lineSeparator();
  }

  private static String libraryLine(LogRecord record, String message) {
    String cause = record.getThrown() == null ? "" : record.getThrown().toString();
    return EventLog.line(
        String.valueOf(record.getLoggerName()), "library", "message", message, "cause", cause);
  }
}
