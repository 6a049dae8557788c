package org.apricotstand.tenant;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the age of a configuration, and what they allow. The age counts from the latest time at
 * which the configuration was known to be the newest; all times are those of one monotonic clock.
 *
 * <p>Load pattern: revocations are rare and outages of the store are short, so that an instance
 * goes on admitting requests as long as it may, and no request asks the store.
 *
 * @param strictRevoke whether no request may run that is sent later than {@code revokeMs} after its
 *     key was removed, wherever it is sent to
 * @param revokeMs time after which a removed key must not work
 * @param configApplyMs time after which a new key must not be refused as unknown
 */
public record FreshnessBounds(boolean strictRevoke, long revokeMs, long configApplyMs) {

  /** Bounds of a deployment that does not ask for strict revocation. */
  public static final FreshnessBounds DEFAULT = new FreshnessBounds(false, 5_000, 3_000);

  /** Confirmation time before the first confirmation; its age exceeds all bounds. */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  /**
   * Part of a bound that is kept in reserve. It covers clocks that are read in whole milliseconds
   * and run at different speeds in different machines; the check itself takes place after the
   * request was sent and needs no reserve.
   */
  private static final long MARGIN_DIVISOR = 50;

  /**
   * Longest wait of one read as a part of {@code revokeMs}. A read confirms the time at which it
   * was sent, so the age grows to two waits; with the time between two questions of a member it has
   * to stay below the four tenths that an outage of six tenths leaves.
   */
  private static final long READ_WAIT_DIVISOR = 10;

  /** Checks that the times are positive. */
  public FreshnessBounds {
    checkArgument(revokeMs > 0, "revokeMs is not positive: %s", revokeMs);
    checkArgument(configApplyMs > 0, "configApplyMs is not positive: %s", configApplyMs);
  }

  /**
   * Returns whether requests with a known key may be admitted.
   *
   * @param confirmedMs time at which the configuration was known to be the newest
   */
  public boolean canAdmit(long confirmedMs, long nowMs) {
    return !strictRevoke || isWithin(revokeMs, confirmedMs, nowMs);
  }

  /**
   * Returns whether an unknown key may be refused for good. Otherwise it may belong to a newer
   * configuration that other instances have already.
   *
   * @param confirmedMs time at which the configuration was known to be the newest
   */
  public boolean canRejectKey(long confirmedMs, long nowMs) {
    return isWithin(configApplyMs, confirmedMs, nowMs);
  }

  private static boolean isWithin(long boundMs, long confirmedMs, long nowMs) {
    return nowMs - confirmedMs <= boundMs - boundMs / MARGIN_DIVISOR;
  }

  /**
   * Returns whether this instance has to ask the store itself, because neither its own reads nor
   * other instances have confirmed the configuration for an unusual time.
   */
  public boolean mustRead(long confirmedMs, long nowMs) {
    long untilRejectionMs = configApplyMs * 9 / 10;
    long usualMs = strictRevoke ? Math.min(revokeMs * 2 / 5, untilRejectionMs) : untilRejectionMs;
    return nowMs - confirmedMs > usualMs;
  }

  /**
   * Returns how long one read of the configuration may wait for a change.
   *
   * @param usualWaitMs wait without these bounds
   */
  public long readWaitMs(long usualWaitMs) {
    return strictRevoke ? Math.clamp(revokeMs / READ_WAIT_DIVISOR, 1, usualWaitMs) : usualWaitMs;
  }
}
