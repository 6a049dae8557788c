package org.apricotstand.hedge;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the hedges of a service to a share of its requests. Answers the load in which all targets
 * are slow, where hedges would add to the cause.
 *
 * <p>Each instance keeps to the share of its own requests, counted from its start, so that the sum
 * over all instances keeps to it without an exchange between them.
 */
public final class HedgeAllowance {

  /** Maximum number of unused hedges that are kept for a slow period. */
  static final double MAX_SAVED = 3;

  /** Rounding error of the sum of many shares. */
  private static final double EPSILON = 1e-9;

  private final double maxShare;
  private double saved;

  /**
   * Creates an allowance without unused hedges.
   *
   * @param maxShare hedges allowed per request, from 0 to 1; 0 allows none
   */
  public HedgeAllowance(double maxShare) {
    checkArgument(maxShare >= 0 && maxShare <= 1, "share out of range: %s", maxShare);
    this.maxShare = maxShare;
  }

  /** Records a request of a caller. */
  public void recordRequest() {
    saved = Math.min(MAX_SAVED, saved + maxShare);
  }

  /** Returns whether one more hedge keeps to the share. */
  public boolean allowsHedge() {
    return maxShare > 0 && saved >= 1 - EPSILON;
  }

  /** Records that a hedge is sent, which {@link #allowsHedge} must have allowed. */
  public void recordHedge() {
    saved -= 1;
  }
}
