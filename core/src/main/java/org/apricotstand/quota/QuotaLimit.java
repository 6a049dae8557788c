package org.apricotstand.quota;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a tenant may use over all instances together, in units of cost.
 *
 * @param ratePerS units a second
 * @param burst units beyond the rate in any window
 */
public record QuotaLimit(double ratePerS, double burst) {

  /** Creates a limit; a tenant without a limit has no {@code QuotaLimit}. */
  public QuotaLimit {
    checkArgument(ratePerS > 0, "rate must be positive: %s", ratePerS);
    checkArgument(burst >= 0, "burst must not be negative: %s", burst);
  }
}
