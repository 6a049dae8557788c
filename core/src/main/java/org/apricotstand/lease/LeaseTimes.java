package org.apricotstand.lease;

/** Durations and intervals of leases, promises and takeovers, in milliseconds. */
public final class LeaseTimes {

  /** Interval between two renewals of the own lease. */
  public static final long RENEW_INTERVAL_MS = 3_000;

  /** Validity of a lease, counted by its holder from before it sent the last successful renewal. */
  public static final long LEASE_DURATION_MS = 9_000;

  /**
   * Time for which a lease row must stay unchanged before another instance may end its term. It is
   * a third longer than {@link #LEASE_DURATION_MS} to allow for clocks of different rates.
   */
  public static final long TAKEOVER_WAIT_MS = 12_000;

  /** Time for which a received promise may be used, counted from before it was requested. */
  public static final long PROMISE_USABLE_MS = 9_000;

  /** Time for which a granted promise binds its giver, counted from the grant. */
  public static final long PROMISE_BINDING_MS = 12_000;

  /**
   * Longest time after the expiry of its lease for which a disconnected holder, one that can't
   * renew because the platform does not answer, goes on serving.
   */
  public static final long MAX_DISCONNECTED_MS = 600_000;

  /**
   * Allowance for the time between the last renewal of a disconnected holder and the first time
   * another instance sees it as silent.
   */
  public static final long DISCONNECT_DETECTION_MARGIN_MS = 2 * TAKEOVER_WAIT_MS;

  /**
   * Time after which an instance that the owner row does not list as a candidate may take the
   * target. No disconnected holder can still be serving by then.
   */
  public static final long UNLISTED_TAKEOVER_WAIT_MS =
      MAX_DISCONNECTED_MS + DISCONNECT_DETECTION_MARGIN_MS;

  /** Interval between reads that wait for a change, such as the lease row of a silent owner. */
  static final long FAST_READ_INTERVAL_MS = 2_000;

  /** Interval between reads of an owner row whose owner is live. */
  static final long SLOW_READ_INTERVAL_MS = 10_000;

  /**
   * Delay of a takeover for each live candidate of better rank, which may take the target first.
   */
  static final long DELAY_PER_RANK_MS = 1_500;

  /** Delay before a failed store call is retried, before jitter. */
  static final long RETRY_DELAY_MS = 1_000;

  /** Remaining lease time below which promises are requested: two renewals have failed by then. */
  static final long PROMISE_REQUEST_THRESHOLD_MS = 4_500;

  /** Remaining time of the own lease below which no target is taken. */
  static final long MIN_LEASE_FOR_TAKEOVER_MS = 2_000;

  /** Placeholder for a time that has not been set; as a deadline it has always passed. */
  public static final long NEVER = Long.MIN_VALUE;

  private LeaseTimes() {}
}
