package org.apricotstand.budget;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * Token bucket with one instance's share of the weight store's load rate and in-flight limit. The
 * shares of all instances add up to the limits, which therefore hold without any messages between
 * the instances. Lending moves tokens to another instance and never creates any.
 *
 * <pre>{@code
 * budget.configure(loadsPerSecond, loadsInFlight, new SharePosition(7, 2), nowMs);
 * if (budget.tryStartLoad(nowMs)) {
 *   // start the load, later budget.recordLoadEnd(nowMs)
 * }
 * }</pre>
 */
public final class LoadBudget implements LoadLimiter {

  /** Time for which no token is lent after a load of this instance had to wait for one. */
  static final long LENDING_PAUSE_MS = 500;

  private static final double MS_PER_S = 1_000;

  /** With more than one saved token, a fleet that was idle could start many loads at once. */
  private static final double MAX_TOKENS = 1;

  // Tolerance for rounding errors in the sum of many small increments.
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Queue<BorrowedTokens> borrowedTokens =
      new PriorityQueue<>(Comparator.comparingLong(BorrowedTokens::expiresAtMs));
  private double tokensPerMs;
  private int inFlightShare;
  // Starts at 0: before a restart, this instance may just have used a token.
  private double tokens;
  private long refilledMs;
  private int inFlight;
  private long lastUnmetMs = Long.MIN_VALUE;
  private boolean unmetDemand;

  private record BorrowedTokens(double tokens, long expiresAtMs) {}

  /** Creates a budget that allows no load until {@link #configure} is called. */
  public LoadBudget(long nowMs) {
    this.refilledMs = nowMs;
  }

  /**
   * Sets the limits of the weight store and this instance's share of them.
   *
   * @param loadsPerSecond rate limit of all instances together
   * @param loadsInFlight limit of concurrent loads of all instances together
   * @param position position of this instance, which determines its share
   */
  public void configure(
      double loadsPerSecond, int loadsInFlight, SharePosition position, long nowMs) {
    checkArgument(loadsPerSecond >= 0, "loadsPerSecond must not be negative: %s", loadsPerSecond);
    checkArgument(loadsInFlight >= 0, "loadsInFlight must not be negative: %s", loadsInFlight);
    refill(nowMs);
    tokensPerMs = loadsPerSecond / MS_PER_S / position.count();
    int remainder = loadsInFlight % position.count();
    inFlightShare = loadsInFlight / position.count() + (position.index() < remainder ? 1 : 0);
  }

  @Override
  public boolean mayStartLoad(long nowMs) {
    refill(nowMs);
    boolean hasToken = availableTokens() >= MAX_TOKENS - ROUNDING_TOLERANCE;
    if (!hasToken) {
      lastUnmetMs = nowMs;
      unmetDemand = true;
    }
    return hasToken && inFlight < inFlightShare;
  }

  @Override
  public boolean tryStartLoad(long nowMs) {
    if (!mayStartLoad(nowMs)) {
      return false;
    }
    useToken();
    inFlight++;
    return true;
  }

  @Override
  public void recordLoadEnd(long nowMs) {
    checkArgument(inFlight > 0, "no load is in flight");
    inFlight--;
  }

  /** Returns whether a load was refused for lack of a token since the last call of this method. */
  public boolean takeUnmetDemand() {
    boolean hadUnmetDemand = unmetDemand;
    unmetDemand = false;
    return hadUnmetDemand;
  }

  /** Returns the fraction of a token that is missing for the next load; 0 if none is missing. */
  public double missingTokens(long nowMs) {
    refill(nowMs);
    return Math.max(0, MAX_TOKENS - availableTokens());
  }

  /**
   * Removes tokens from this budget for another instance and returns how many, at most the
   * requested number. They do not come back, even if the other instance does not use them.
   *
   * @param requestedTokens number of tokens, which may be a fraction
   */
  public double lend(double requestedTokens, long nowMs) {
    refill(nowMs);
    boolean neededHere = lastUnmetMs != Long.MIN_VALUE && nowMs - lastUnmetMs < LENDING_PAUSE_MS;
    if (neededHere || requestedTokens <= 0) {
      return 0;
    }
    double lentTokens = Math.min(requestedTokens, tokens);
    tokens -= lentTokens;
    return lentTokens;
  }

  /** Adds tokens that another instance lent; they expire at the given time if still unused. */
  public void borrow(double lentTokens, long expiresAtMs) {
    if (lentTokens > 0) {
      borrowedTokens.add(new BorrowedTokens(lentTokens, expiresAtMs));
    }
  }

  /** Returns the number of loads that were started and have not ended. */
  public int inFlight() {
    return inFlight;
  }

  private void refill(long nowMs) {
    tokens = Math.min(MAX_TOKENS, tokens + (nowMs - refilledMs) * tokensPerMs);
    refilledMs = nowMs;
    while (!borrowedTokens.isEmpty() && borrowedTokens.peek().expiresAtMs() <= nowMs) {
      borrowedTokens.poll();
    }
  }

  private double availableTokens() {
    return tokens + borrowedTokens.stream().mapToDouble(BorrowedTokens::tokens).sum();
  }

  /** Uses one token. Borrowed tokens are used first because they expire. */
  private void useToken() {
    double stillNeeded = 1;
    while (stillNeeded > 0 && !borrowedTokens.isEmpty()) {
      BorrowedTokens next = borrowedTokens.poll();
      double used = Math.min(stillNeeded, next.tokens());
      stillNeeded -= used;
      borrow(next.tokens() - used, next.expiresAtMs());
    }
    tokens = Math.max(0, tokens - stillNeeded);
  }
}
