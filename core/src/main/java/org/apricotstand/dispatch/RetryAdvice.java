package org.apricotstand.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Computes how long a caller whose request was refused without being run should wait before it
 * retries. Callers retry only once, and a retry before the cause is gone would waste that attempt.
 *
 * <pre>{@code
 * long delayMs = RetryAdvice.retryAfterMs(Cause.NO_OWNER, leftMs, random.nextDouble());
 * }</pre>
 */
public final class RetryAdvice {

  /**
   * Callers do not honour a longer delay: after this fraction of the time left they retry anyway.
   */
  private static final double MAX_FRACTION_OF_TIME_LEFT = 1.0 / 3;

  /**
   * The base delay is multiplied by a factor from 0.75 to 1.25, so that callers that were refused
   * together do not retry together.
   */
  private static final double MIN_JITTER_FACTOR = 0.75;

  private static final double JITTER_FACTOR_RANGE = 0.5;

  /** Why the request was refused. */
  public enum Cause {
    /** The targets were full; their queues shorten within a few answers. */
    TARGETS_BUSY(400),
    /** Adapter loads queue at the engines; such bursts end within seconds. */
    LOADS_QUEUED(1_000),
    /** No engine has a reachable owner; one returns after a restart or a handover. */
    NO_OWNER(2_500);

    private final long baseDelayMs;

    Cause(long baseDelayMs) {
      this.baseDelayMs = baseDelayMs;
    }
  }

  private RetryAdvice() {}

  /**
   * Returns the delay before the retry, at least 1 ms and at most a third of the time left.
   *
   * @param cause why the request was refused
   * @param leftMs time until the caller's deadline
   * @param randomFraction random number from 0 to 1, uniformly distributed, for the jitter
   */
  public static long retryAfterMs(Cause cause, long leftMs, double randomFraction) {
    checkArgument(
        randomFraction >= 0 && randomFraction <= 1,
        "random fraction out of range: %s",
        randomFraction);
    double jitteredMs =
        cause.baseDelayMs * (MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * randomFraction);
    return (long) Math.max(1, Math.min(jitteredMs, leftMs * MAX_FRACTION_OF_TIME_LEFT));
  }
}
