package org.apricotstand.observe;

import java.util.logging.LogManager;

/**
 * Keeps the handlers of all loggers until the process ends. The default log manager removes them as
 * soon as the process is told to stop, so that nothing would be logged during a drain. {@link
 * LogFormat} installs this class before the first logger is used.
 */
public final class ShutdownLogManager extends LogManager {

  /** Does nothing: handlers write each record through and need not be closed. */
  @Override
  public void reset() {}
}
