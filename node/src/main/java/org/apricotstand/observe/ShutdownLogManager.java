package org.apricotstand.observe;

import java.util.logging.LogManager;

/**
 * Keeps the handlers of all loggers until the process ends. The usual manager removes them as soon
 * as the process is told to stop, so that nothing of a drain would be logged.
 */
public final class ShutdownLogManager extends LogManager {

  private static final String PROPERTY = "java.util.logging.manager";

  /** Makes this the manager of the process; has no effect once a logger has been used. */
  static void use() {
    System.setProperty(PROPERTY, ShutdownLogManager.class.getName());
  }

  /** Does nothing: handlers are written through and need no end. */
  @Override
  public void reset() {}
}
