package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Allows repeats as a fraction of the requests in a sliding window, plus this instance's share of a
 * fixed allowance.
 *
 * <pre>{@code
 * budget.requested(nowMs);
 * if (budget.tryRepeat(instances, nowMs)) { ... }
 * }</pre>
 */
public final class WindowedRetryBudget {

  /** Part of the budget that is used; requests and repeats reach targets in other windows. */
  private static final double USED_PART = 0.7;

  private final double ratio;
  private final double allowance;
  private final long windowMs;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  /**
   * Creates an unused budget.
   *
   * @param ratio repeats for each request
   * @param allowance repeats of all instances together beyond the ratio
   * @param windowMs length of the window
   */
  public WindowedRetryBudget(double ratio, double allowance, long windowMs) {
    checkArgument(windowMs > 0, "window must be positive: %s", windowMs);
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMs = windowMs;
  }

  /** Notes a request of a caller. */
  public void requested(long nowMs) {
    requests.add(nowMs);
    expire(requests, nowMs);
  }

  /** Takes one repeat from the budget; returns false when it is used up. */
  public boolean tryRepeat(int instances, long nowMs) {
    expire(requests, nowMs);
    expire(repeats, nowMs);
    double most = USED_PART * (ratio * requests.size() + allowance / Math.max(1, instances));
    if (repeats.size() + 1 > most) {
      return false;
    }
    repeats.add(nowMs);
    return true;
  }

  private void expire(Deque<Long> times, long nowMs) {
    while (!times.isEmpty() && times.peekFirst() < nowMs - windowMs) {
      times.removeFirst();
    }
  }
}
