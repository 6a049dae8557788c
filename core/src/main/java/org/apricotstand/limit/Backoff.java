package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.random.RandomGenerator;

/**
 * Pauses between attempts that double and are drawn at random, so that those who failed together do
 * not return together.
 *
 * <pre>{@code
 * long dueMs = nowMs + new Backoff(random, 50, 2_000).pauseMs(attempt);
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
   * @param random seeded generator
   * @param baseMs longest pause before the second attempt
   * @param maxMs longest pause before any attempt
   */
  public Backoff(RandomGenerator random, long baseMs, long maxMs) {
    checkArgument(baseMs > 0 && maxMs >= baseMs, "invalid pauses: %s to %s", baseMs, maxMs);
    this.random = random;
    this.baseMs = baseMs;
    this.maxMs = maxMs;
  }

  /**
   * Returns the pause after a failed attempt, from half of the longest one up to it.
   *
   * @param attempt number of the failed attempt, from 1
   */
  public long pauseMs(int attempt) {
    checkArgument(attempt >= 1, "attempts count from 1: %s", attempt);
    int doublings = Math.min(MAX_DOUBLINGS, attempt - 1);
    long longestMs = Math.min(maxMs, baseMs << doublings);
    return longestMs - random.nextLong(longestMs / 2 + 1);
  }
}
