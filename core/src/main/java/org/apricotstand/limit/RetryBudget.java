package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a fraction of the first attempts, so that retries do not multiply the traffic
 * of a failing target.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 10);
 * budget.recordFirstAttempt();
 * if (budget.tryRetry()) { ... }
 * }</pre>
 */
public final class RetryBudget {

  /** Default number of retries per first attempt. */
  public static final double DEFAULT_FRACTION = 0.1;

  /** Default reserve of retries; with little traffic it still covers the first failures. */
  public static final int DEFAULT_RESERVE = 10;

  private double fraction;
  private final int reserve;
  private double availableRetries;

  /**
   * Creates a budget with a full reserve.
   *
   * @param fraction retries that each first attempt adds to the budget, from 0 to 1
   * @param reserve maximum number of unused retries that are kept
   */
  public RetryBudget(double fraction, int reserve) {
    checkArgument(fraction >= 0 && fraction <= 1, "fraction out of range: %s", fraction);
    checkArgument(reserve >= 1, "reserve must be positive: %s", reserve);
    this.fraction = fraction;
    this.reserve = reserve;
    this.availableRetries = reserve;
  }

  /** Sets the number of retries that each later first attempt adds to the budget. */
  public void setFraction(double newFraction) {
    checkArgument(newFraction >= 0 && newFraction <= 1, "fraction out of range: %s", newFraction);
    fraction = newFraction;
  }

  /** Records a first attempt, which adds to the budget. */
  public void recordFirstAttempt() {
    availableRetries = Math.min(reserve, availableRetries + fraction);
  }

  /** Takes one retry from the budget; returns false when the budget is exhausted. */
  public boolean tryRetry() {
    if (availableRetries < 1) {
      return false;
    }
    availableRetries -= 1;
    return true;
  }
}
