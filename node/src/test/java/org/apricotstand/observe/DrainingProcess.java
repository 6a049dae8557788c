package org.apricotstand.observe;

import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/** A process that logs while it is being shut down; started by {@link ShutdownLogManagerTest}. */
final class DrainingProcess {

  /** Gives the other shutdown hooks time to run, among them that of the default log manager. */
  private static final long AFTER_OTHER_HOOKS_MS = 500;

  private DrainingProcess() {}

  public static void main(String[] args) {
    LogFormat.install(Level.INFO);
    EventLog log = EventLog.of(DrainingProcess.class);
    log.info("started");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(log)));
    System.exit(0);
  }

  private static void drain(EventLog log) {
    try {
      TimeUnit.MILLISECONDS.sleep(AFTER_OTHER_HOOKS_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.info("stopped");
  }
}
