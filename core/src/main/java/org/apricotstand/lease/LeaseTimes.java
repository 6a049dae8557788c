package org.apricotstand.lease;

/** Times of leases, promises and takeovers. */
public final class LeaseTimes {

  /** Pause between two renewals. */
  public static final long RENEW_MS = 3_000;

  /** The holder counts its lease from before it sent the last successful renewal. */
  public static final long HOLD_MS = 9_000;

  /** A challenger waits this long; a third longer than the hold, so that clocks may differ. */
  public static final long WATCH_MS = 12_000;

  /** The holder counts a promise from before it asked for it. */
  public static final long PROMISE_USE_MS = 9_000;

  /** The giver keeps a promise from when it gave it. */
  public static final long PROMISE_KEEP_MS = 12_000;

  /** A frozen holder serves at most this long after its lease expired. */
  public static final long FROZEN_MS = 600_000;

  /** Covers the time between the last renewal of a frozen holder and the first sight of it. */
  public static final long STRANGER_MARGIN_MS = 2 * WATCH_MS;

  /** An instance that is no listed candidate waits until no frozen holder can be left. */
  public static final long STRANGER_WATCH_MS = FROZEN_MS + STRANGER_MARGIN_MS;

  /** Pause between reads that wait for a change, such as the lease row of a silent owner. */
  static final long FAST_READ_MS = 2_000;

  /** Pause between reads of an owner row whose owner is heard. */
  static final long SLOW_READ_MS = 10_000;

  /** A lower-ranked candidate leaves the target to each better one for this long. */
  static final long RANK_DELAY_MS = 1_500;

  /** Pause before a failed store call is repeated, before jitter. */
  static final long RETRY_MS = 1_000;

  /** Promises are asked for when the lease has less than this left: two renewals failed. */
  static final long ASK_BEFORE_MS = 4_500;

  /** No target is taken with less than this left on the own lease. */
  static final long TAKE_MARGIN_MS = 2_000;

  /** Stands for a deadline that has always passed. */
  public static final long NEVER = Long.MIN_VALUE;

  private LeaseTimes() {}
}
