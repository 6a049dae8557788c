package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Allows retries as a fraction of the first attempts, so that a failing target does not receive a
 * multiple of its traffic.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 10);
 * budget.attempted();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {

  /** Usual share of retries in traffic. */
  public static final double DEFAULT_FRACTION = 0.1;

  /** Retries that may be saved up; a quiet instance can still retry its first failures. */
  public static final int DEFAULT_RESERVE = 10;

  private double fraction;
  private final int reserve;
  private double available;

  /**
   * Creates a full budget.
   *
   * @param fraction retries earned by each first attempt
   * @param reserve most retries that are saved up
   */
  public RetryBudget(double fraction, int reserve) {
    checkArgument(fraction >= 0 && fraction <= 1, "fraction out of range: %s", fraction);
    checkArgument(reserve >= 1, "reserve must be positive: %s", reserve);
    this.fraction = fraction;
    this.reserve = reserve;
    this.available = reserve;
  }

  /** Sets the retries earned by each first attempt from now on. */
  public void setFraction(double changed) {
    checkArgument(changed >= 0 && changed <= 1, "fraction out of range: %s", changed);
    fraction = changed;
  }

  /** Notes a first attempt. */
  public void attempted() {
    available = Math.min(reserve, available + fraction);
  }

  /** Takes one retry from the budget; returns false when it is used up. */
  public boolean tryRetry() {
    if (available < 1) {
      return false;
    }
    available -= 1;
    return true;
  }
}
