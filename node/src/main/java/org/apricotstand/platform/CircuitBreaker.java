package org.apricotstand.platform;

import java.util.random.RandomGenerator;

/**
 * Stops calls of a service that does not answer, and lets one call through after a jittered pause
 * that doubles with each further failure.
 */
final class CircuitBreaker {

  private static final int FAILURES_TO_OPEN = 5;
  private static final long FIRST_PAUSE_MS = 200;
  private static final long MAX_PAUSE_MS = 5_000;

  private final RandomGenerator random;
  private int failures;
  private long pauseMs = FIRST_PAUSE_MS;
  private long retryMs;
  private boolean probing;

  CircuitBreaker(RandomGenerator random) {
    this.random = random;
  }

  /** Returns whether a call may be sent; while the circuit is open, that is one probe. */
  boolean tryPass(long nowMs) {
    if (!isOpen()) {
      return true;
    }
    if (probing || nowMs < retryMs) {
      return false;
    }
    probing = true;
    return true;
  }

  boolean isOpen() {
    return failures >= FAILURES_TO_OPEN;
  }

  void succeeded() {
    failures = 0;
    probing = false;
    pauseMs = FIRST_PAUSE_MS;
  }

  void failed(long nowMs) {
    failures++;
    probing = false;
    if (isOpen()) {
      retryMs = nowMs + pauseMs / 2 + random.nextLong(pauseMs);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }
}
