package org.apricotstand.observe;

import java.util.logging.LogManager;

/**
 * Keeps the handlers of all loggers until the process ends. The usual manager removes them as soon
 * as the process is told to stop, so that nothing of a drain would be logged. {@link LogFormat}
 * names this class before the first logger is used.
 */
public final class ShutdownLogManager extends LogManager {

  /** Does nothing: handlers are written through and need no end. */
  @Override
  public void reset() {}
}
