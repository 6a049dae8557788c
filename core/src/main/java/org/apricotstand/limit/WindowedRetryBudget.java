package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits retries to a fraction of the requests in a sliding window, plus this instance's share of a
 * fixed allowance for all instances. A retry is reserved first and counts in the window in which it
 * is sent, however long it waits in between.
 *
 * <pre>{@code
 * budget.recordRequest(nowMs);
 * if (budget.tryReserveRetry(share.fraction(nowMs), nowMs)) {
 *   // later budget.recordRetry(nowMs), or budget.releaseRetry()
 * }
 * }</pre>
 */
public final class WindowedRetryBudget {

  /**
   * Fraction of the budget that is used. The rest is a margin, because requests and retries reach
   * the targets in other windows than those in which they are counted here.
   */
  private static final double USABLE_FRACTION = 0.7;

  private final double ratio;
  private final double allowance;
  private final long windowMs;
  private final Deque<Long> requestTimesMs = new ArrayDeque<>();
  private final Deque<Long> retryTimesMs = new ArrayDeque<>();
  private int reservedRetries;

  /**
   * Creates an unused budget.
   *
   * @param ratio retries allowed per request
   * @param allowance further retries allowed per window, for all instances together
   * @param windowMs length of the window
   */
  public WindowedRetryBudget(double ratio, double allowance, long windowMs) {
    checkArgument(windowMs > 0, "window must be positive: %s", windowMs);
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMs = windowMs;
  }

  /** Records a request of a caller. */
  public void recordRequest(long nowMs) {
    requestTimesMs.add(nowMs);
    removeExpired(requestTimesMs, nowMs);
  }

  /**
   * Reserves one retry; returns false when the budget is exhausted.
   *
   * @param share fraction of the allowance that this instance may use
   */
  public boolean tryReserveRetry(double share, long nowMs) {
    removeExpired(requestTimesMs, nowMs);
    removeExpired(retryTimesMs, nowMs);
    double maxRetries = USABLE_FRACTION * (ratio * requestTimesMs.size() + allowance * share);
    if (reservedRetries + retryTimesMs.size() + 1 > maxRetries) {
      return false;
    }
    reservedRetries++;
    return true;
  }

  /** Records that a reserved retry is sent. */
  public void recordRetry(long nowMs) {
    releaseRetry();
    retryTimesMs.add(nowMs);
  }

  /** Gives back a reserved retry that is not sent. */
  public void releaseRetry() {
    checkState(reservedRetries > 0, "no retry is reserved");
    reservedRetries--;
  }

  private void removeExpired(Deque<Long> times, long nowMs) {
    while (!times.isEmpty() && times.peekFirst() < nowMs - windowMs) {
      times.removeFirst();
    }
  }
}
