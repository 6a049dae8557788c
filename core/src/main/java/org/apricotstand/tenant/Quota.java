package org.apricotstand.tenant;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limit of what a tenant may send through all instances together.
 *
 * @param unit what is counted
 * @param plainTokens tokens that a request counts as if it declares none; only for {@link
 *     QuotaUnit#TOKENS}
 * @param ratePerS units a second; 0 for no limit
 * @param burst units that may be sent in addition to the rate
 */
public record Quota(QuotaUnit unit, long plainTokens, double ratePerS, double burst) {

  /** Quota of a tenant without a limit. */
  public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

  /** Checks that no number is negative. */
  public Quota {
    checkArgument(plainTokens >= 0, "plainTokens is negative: %s", plainTokens);
    checkArgument(isAmount(ratePerS), "ratePerS is not a number from 0: %s", ratePerS);
    checkArgument(isAmount(burst), "burst is not a number from 0: %s", burst);
  }

  private static boolean isAmount(double value) {
    return value >= 0 && Double.isFinite(value);
  }

  /** Returns whether the quota limits anything. */
  public boolean isLimited() {
    return ratePerS > 0;
  }
}
