package org.apricotstand.observe;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.util.logging.Level;

/**
 * Writes one line of key=value pairs for each event.
 *
 * <pre>{@code
 * LOG.info("adapter_loaded", "target", target, "load_ms", loadMs);
 * // event=adapter_loaded source=Scheduler target=engine-1 load_ms=250
 * }</pre>
 *
 * <p>Values with spaces, quotes or control characters are quoted and escaped, so that a value that
 * came from outside cannot forge a line or a pair.
 */
public final class EventLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String source;

  private EventLog(String source) {
    this.source = source;
  }

  /** Returns a log whose lines name the given class as their source. */
  public static EventLog of(Class<?> type) {
    return new EventLog(type.getSimpleName());
  }

  /**
   * Logs a normal event.
   *
   * @param pairs alternating keys and values
   */
  public void info(String event, Object... pairs) {
    log(Level.INFO, event, pairs);
  }

  /** Logs an event that an operator may have to look at. */
  public void warn(String event, Object... pairs) {
    log(Level.WARNING, event, pairs);
  }

  /** Logs an event for debugging; not written at the default level. */
  public void debug(String event, Object... pairs) {
    log(Level.FINE, event, pairs);
  }

  private void log(Level level, String event, Object... pairs) {
    FluentLogger.Api api = LOGGER.at(level);
    if (api.isEnabled()) {
      // Without a given site the library walks the stack for the caller, which no line names.
      api.withInjectedLogSite(LogSite.INVALID).log("%s", line(source, event, pairs));
    }
  }

  static String line(String source, String event, Object... pairs) {
    checkArgument(pairs.length % 2 == 0, "pairs must alternate keys and values");
    StringBuilder line =
        new StringBuilder("event=").append(event).append(" source=").append(source);
    for (int i = 0; i < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
    }
    return line.toString();
  }

  private static String quoted(String value) {
    if (isPlain(value)) {
      return value;
    }
    StringBuilder quoted = new StringBuilder("\"");
    value.chars().forEach(c -> appendEscaped(quoted, (char) c));
    return quoted.append('"').toString();
  }

  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!isPlain(value.charAt(i))) {
        return false;
      }
    }
    return !value.isEmpty();
  }

  private static boolean isPlain(int c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  }

  private static void appendEscaped(StringBuilder out, char c) {
    switch (c) {
      case '"' -> out.append("\\\"");
      case '\\' -> out.append("\\\\");
      case '\n' -> out.append("\\n");
      case '\r' -> out.append("\\r");
      default -> {
        if (Character.isISOControl(c) || c == '\u2028' || c == '\u2029') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
    }
  }
}
