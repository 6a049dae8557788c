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

  /** Time before its deadline at which a call can still be answered. */
  private static final long CALL_DURATION_MS = 1_000;

  private final RandomGenerator random;
  private int consecutiveFailures;
  private long backoffMs = INITIAL_BACKOFF_MS;
  private long nextProbeMs;
  private long lastFailureMs;
  private boolean probeInFlight;

  CircuitBreaker(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether a call may be sent. While the circuit is open, permits one probe at a time and
   * only after the backoff; the probe counts as in flight until its result is recorded. A call that
   * cannot wait for the end of the backoff may be the probe before it, after the initial backoff:
   * it would fail in any case.
   *
   * @param deadlineMs time at which the call must have been answered
   */
  boolean tryAcquire(long nowMs, long deadlineMs) {
    if (!isOpen()) {
      return true;
    }
    long latestSendMs = Math.max(deadlineMs - CALL_DURATION_MS, lastFailureMs + INITIAL_BACKOFF_MS);
    if (probeInFlight || nowMs < Math.min(nextProbeMs, latestSendMs)) {
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
    lastFailureMs = nowMs;
    probeInFlight = false;
    if (isOpen()) {
      nextProbeMs = nowMs + backoffMs / 2 + random.nextLong(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }
}
