package org.apricotstand.quota;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bound on what all instances together may admit of one tenant: in any window, {@code (rate x
 * window + burst) x (1 + over) + slack}.
 *
 * @param windowMs length of the window
 * @param over tolerated part beyond the limit
 * @param slack tolerated units beyond that
 */
public record QuotaBounds(long windowMs, double over, double slack) {

  /** Bounds that hold unless the settings name others. */
  public static final QuotaBounds DEFAULT = new QuotaBounds(8_000, 0.1, 11_000);

  /**
   * Part of the tolerance beyond the limit that is divided between the instances. The rest covers
   * views of the fleet that differ between them for longer than shares take to settle.
   */
  private static final double DIVIDED_FRACTION = 0.8;

  private static final double MS_PER_S = 1_000;

  /** Creates bounds. */
  public QuotaBounds {
    checkArgument(windowMs > 0, "window must be positive: %s", windowMs);
    checkArgument(over >= 0 && slack >= 0, "tolerances must not be negative: %s, %s", over, slack);
  }

  /** Returns the units that all instances together may admit in a window. */
  public double perWindow(QuotaLimit limit) {
    return (ratePerWindow(limit) + limit.burst()) * (1 + over) + slack;
  }

  /** Returns the units of the rate in a window, without the burst. */
  double ratePerWindow(QuotaLimit limit) {
    return limit.ratePerS() * windowMs / MS_PER_S;
  }

  /**
   * Returns the units in a window that are divided between the instances. They do not contain the
   * slack, which may be many times the limit of a small tenant.
   */
  double divided(QuotaLimit limit) {
    return (ratePerWindow(limit) + limit.burst()) * (1 + DIVIDED_FRACTION * over);
  }
}
