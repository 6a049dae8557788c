package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * Computes the pauses between attempts: they double after each failure up to a maximum and have
 * random jitter, so that clients that failed together do not retry together.
 *
 * <pre>{@code
 * long retryAtMs = nowMs + new Backoff(random, 50, 2_000).pauseMs(attempt);
 * }</pre>
 */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 20;

  private final RandomGenerator random;
  private final long baseMs;
  private final long maxMs;

  /**
   * Creates a backoff.
   *
   * @param random generator of the jitter
   * @param baseMs maximum pause before the second attempt
   * @param maxMs maximum pause before any attempt
   */
  public Backoff(RandomGenerator random, long baseMs, long maxMs) {
    checkArgument(
        baseMs > 0 && maxMs >= baseMs, "invalid range of pauses: %s ms to %s ms", baseMs, maxMs);
    this.random = random;
    this.baseMs = baseMs;
    this.maxMs = maxMs;
  }

  /**
   * Returns the pause after a failed attempt: random, from half of its maximum to its maximum.
   *
   * @param attempt number of the failed attempt, starting at 1
   */
  public long pauseMs(int attempt) {
    checkArgument(attempt >= 1, "attempt number must be at least 1: %s", attempt);
    int doublings = Math.min(MAX_DOUBLINGS, attempt - 1);
    long maxPauseMs = Math.min(maxMs, baseMs << doublings);
    return maxPauseMs - random.nextLong(maxPauseMs / 2 + 1);
  }
}
