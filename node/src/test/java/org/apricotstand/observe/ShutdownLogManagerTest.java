package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

class ShutdownLogManagerTest {

  /** Guards against a drain of which nothing is logged. */
  @Test
  void keepsHandlersWhenTheProcessIsToldToStop() {
    ShutdownLogManager manager = new ShutdownLogManager();
    Logger logger = Logger.getLogger("shutdown-log-manager-test");
    Handler handler = new ConsoleHandler();
    logger.addHandler(handler);
    manager.addLogger(logger);
    manager.reset();
    assertThat(logger.getHandlers()).asList().containsExactly(handler);
  }
}
