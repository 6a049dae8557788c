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
  public static final double DEFAULT_RATIO = 0.1;

  /** Default reserve of retries; with little traffic it still covers the first failures. */
  public static final int DEFAULT_RESERVE = 10;

  private double ratio;
  private final int reserve;
  private double availableRetries;

  /**
   * Creates a budget with a full reserve.
   *
   * @param ratio retries that each first attempt adds to the budget, from 0 to 1
   * @param reserve maximum number of unused retries that are kept
   */
  public RetryBudget(double ratio, int reserve) {
    checkArgument(ratio >= 0 && ratio <= 1, "ratio out of range: %s", ratio);
    checkArgument(reserve >= 1, "reserve must be positive: %s", reserve);
    this.ratio = ratio;
    this.reserve = reserve;
    this.availableRetries = reserve;
  }

  /** Sets the number of retries that each later first attempt adds to the budget. */
  public void setRatio(double newRatio) {
    checkArgument(newRatio >= 0 && newRatio <= 1, "ratio out of range: %s", newRatio);
    ratio = newRatio;
  }

  /** Records a first attempt, which adds to the budget. */
  public void recordFirstAttempt() {
    availableRetries = Math.min(reserve, availableRetries + ratio);
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
