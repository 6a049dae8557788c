package org.apricotstand.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Decides when a caller whose request was refused as not run should come back. Callers come back
 * once, so that a time at which nothing has changed yet wastes their last attempt.
 *
 * <pre>{@code
 * long retryAfterMs = RetryAdvice.afterMs(RetryAdvice.Cause.NO_OWNER, leftMs, random.nextDouble());
 * }</pre>
 */
public final class RetryAdvice {

  /** Part of the time left after which callers come back in any case. */
  private static final double LONGEST_PART = 1.0 / 3;

  /** Least and greatest part of the usual time, so that callers do not come back together. */
  private static final double LEAST_SPREAD = 0.75;

  private static final double SPREAD_WIDTH = 0.5;

  /** Why the request was refused. */
  public enum Cause {
    /** The targets were full; their queues change within a few answers. */
    TARGETS_BUSY(400),
    /** Loads of adapters queue at the engines; bursts end within seconds. */
    LOADS_QUEUED(1_000),
    /** No engine can be reached or commanded; owners are back after a restart or a handover. */
    NO_OWNER(2_500);

    private final long usualMs;

    Cause(long usualMs) {
      this.usualMs = usualMs;
    }
  }

  private RetryAdvice() {}

  /**
   * Returns the time to wait before the next attempt.
   *
   * @param leftMs time until the caller's deadline
   * @param draw number from 0 to 1, uniform over refusals
   */
  public static long afterMs(Cause cause, long leftMs, double draw) {
    checkArgument(draw >= 0 && draw <= 1, "draw out of range: %s", draw);
    double spreadMs = cause.usualMs * (LEAST_SPREAD + SPREAD_WIDTH * draw);
    return (long) Math.max(1, Math.min(spreadMs, leftMs * LONGEST_PART));
  }
}
