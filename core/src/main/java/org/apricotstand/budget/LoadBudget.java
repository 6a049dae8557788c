package org.apricotstand.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Share of one instance in the weight store's rate and in-flight limit. The shares of all sharers
 * add up to the limits, so they hold without any exchange between the instances. Lending moves a
 * token; it never creates one.
 *
 * <pre>{@code
 * budget.configure(loadsPerSecond, loadsInFlight, new Sharers(7, 2), nowMs);
 * if (budget.tryStartLoad(nowMs)) {
 *   // start the load, later budget.loadEnded(nowMs)
 * }
 * }</pre>
 */
public final class LoadBudget implements LoadRights {

  /** An own token is kept back from lending for this time after a load had to wait for one. */
  static final long OWN_DEMAND_MS = 500;

  private static final double MS_PER_S = 1_000;

  /** More than one saved token would let a fleet that was idle start many loads at once. */
  private static final double MAX_TOKENS = 1;

  // Absorbs rounding in the sum of many small increments.
  private static final double ROUNDING = 1e-9;

  private final Queue<Borrowed> borrowed =
      new PriorityQueue<>(Comparator.comparingLong(Borrowed::deadlineMs));
  private double tokensPerMs;
  private int inFlightShare;
  // A restarted instance starts without a token, since its predecessor may just have used one.
  private double tokens;
  private long refilledMs;
  private int inFlight;
  private long unmetMs = Long.MIN_VALUE;
  private boolean demand;

  private record Borrowed(double tokens, long deadlineMs) {}

  /** Creates a budget without rights; {@link #configure} gives them. */
  public LoadBudget(long nowMs) {
    this.refilledMs = nowMs;
  }

  /** Sets the limits of the weight store and the part of this instance in them. */
  public void configure(double loadsPerSecond, int loadsInFlight, Sharers sharers, long nowMs) {
    checkArgument(loadsPerSecond >= 0, "loadsPerSecond must not be negative: %s", loadsPerSecond);
    checkArgument(loadsInFlight >= 0, "loadsInFlight must not be negative: %s", loadsInFlight);
    refill(nowMs);
    tokensPerMs = loadsPerSecond / MS_PER_S / sharers.count();
    int remainder = loadsInFlight % sharers.count();
    inFlightShare = loadsInFlight / sharers.count() + (sharers.index() < remainder ? 1 : 0);
  }

  @Override
  public boolean mayStartLoad(long nowMs) {
    refill(nowMs);
    boolean hasToken = available() >= MAX_TOKENS - ROUNDING;
    if (!hasToken) {
      unmetMs = nowMs;
      demand = true;
    }
    return hasToken && inFlight < inFlightShare;
  }

  @Override
  public boolean tryStartLoad(long nowMs) {
    if (!mayStartLoad(nowMs)) {
      return false;
    }
    take();
    inFlight++;
    return true;
  }

  @Override
  public void loadEnded(long nowMs) {
    checkArgument(inFlight > 0, "no load is in flight");
    inFlight--;
  }

  /** Returns whether a load waited for a token since the last call. */
  public boolean takeDemand() {
    boolean taken = demand;
    demand = false;
    return taken;
  }

  /** Returns the part of a token that is missing for a load, 0 when none is. */
  public double missing(long nowMs) {
    refill(nowMs);
    return Math.max(0, MAX_TOKENS - available());
  }

  /**
   * Gives away up to the wanted part of a token; it is gone here, used there or not.
   *
   * @param wanted tokens, may be a fraction
   */
  public double lend(double wanted, long nowMs) {
    refill(nowMs);
    boolean needed = unmetMs != Long.MIN_VALUE && nowMs - unmetMs < OWN_DEMAND_MS;
    if (needed || wanted <= 0) {
      return 0;
    }
    double lent = Math.min(wanted, tokens);
    tokens -= lent;
    return lent;
  }

  /** Takes tokens from another instance; what is unused is void after the deadline. */
  public void borrow(double lent, long deadlineMs) {
    if (lent > 0) {
      borrowed.add(new Borrowed(lent, deadlineMs));
    }
  }

  /** Returns the number of loads that were started and have not ended. */
  public int inFlight() {
    return inFlight;
  }

  private void refill(long nowMs) {
    tokens = Math.min(MAX_TOKENS, tokens + (nowMs - refilledMs) * tokensPerMs);
    refilledMs = nowMs;
    while (!borrowed.isEmpty() && borrowed.peek().deadlineMs() <= nowMs) {
      borrowed.poll();
    }
  }

  private double available() {
    return tokens + borrowed.stream().mapToDouble(Borrowed::tokens).sum();
  }

  /** Uses one token, borrowed parts first, since they end. */
  private void take() {
    double wanted = 1;
    while (wanted > 0 && !borrowed.isEmpty()) {
      Borrowed next = borrowed.poll();
      double used = Math.min(wanted, next.tokens());
      wanted -= used;
      borrow(next.tokens() - used, next.deadlineMs());
    }
    tokens = Math.max(0, tokens - wanted);
  }
}
