package org.apricotstand.platform;

import java.util.random.RandomGenerator;

/**
 * Circuit breaker for calls to a service. Opens after {@value #FAILURES_TO_OPEN} consecutive
 * failures and then permits single probes; the jittered backoff before a probe doubles with each
 * further failure.
 */
final class CircuitBreaker {

  private static final int FAILURES_TO_OPEN = 5;
  private static final long INITIAL_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 5_000;

  private final RandomGenerator random;
  private int consecutiveFailures;
  private long backoffMs = INITIAL_BACKOFF_MS;
  private long nextProbeMs;
  private boolean probeInFlight;

  CircuitBreaker(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether a call may be sent. While the circuit is open, permits one probe at a time and
   * only after the backoff; the probe counts as in flight until its result is recorded.
   */
  boolean tryAcquire(long nowMs) {
    if (!isOpen()) {
      return true;
    }
    if (probeInFlight || nowMs < nextProbeMs) {
      return false;
    }
    probeInFlight = true;
    return true;
  }

  boolean isOpen() {
    return consecutiveFailures >= FAILURES_TO_OPEN;
  }

  void recordSuccess() {
    consecutiveFailures = 0;
    probeInFlight = false;
    backoffMs = INITIAL_BACKOFF_MS;
  }

  void recordFailure(long nowMs) {
    consecutiveFailures++;
    probeInFlight = false;
    if (isOpen()) {
      nextProbeMs = nowMs + backoffMs / 2 + random.nextLong(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }
}
