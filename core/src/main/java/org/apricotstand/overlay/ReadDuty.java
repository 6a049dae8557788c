package org.apricotstand.overlay;

/**
 * Decides whether an instance reads a table of the store itself. Relays do; the others read only
 * while they are told nothing, so that the calls to the store grow with the failure domains and not
 * with the instances.
 *
 * <pre>{@code
 * duty.recordTold(nowMs);
 * if (duty.mustRead(hasRelay, nowMs)) { ... }
 * }</pre>
 */
public final class ReadDuty {

  /** Delay that news of the relay may have before an instance reads itself. */
  public static final long NEWS_DELAY_MS = 500;

  /** Range of the additional time, so that the members of a relay do not all read at once. */
  public static final long MAX_STAGGER_MS = 500;

  private final long timeoutMs;
  private long untoldFromMs = Long.MIN_VALUE;

  /**
   * Creates the duty of an instance that was told nothing yet.
   *
   * @param readPeriodMs longest time between two reads of a relay
   * @param randomFraction random number from 0 to 1 that spreads the instances
   */
  public ReadDuty(long readPeriodMs, double randomFraction) {
    this.timeoutMs = readPeriodMs + NEWS_DELAY_MS + (long) (randomFraction * MAX_STAGGER_MS);
  }

  /** Records that the relay passed on all that it read up to now. */
  public void recordTold(long nowMs) {
    untoldFromMs = nowMs + timeoutMs;
  }

  /** Returns whether the instance has to read the table now. */
  public boolean mustRead(boolean hasRelay, long nowMs) {
    return !hasRelay || nowMs >= untoldFromMs;
  }
}
