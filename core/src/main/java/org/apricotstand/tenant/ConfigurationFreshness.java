package org.apricotstand.tenant;

import org.apricotstand.model.StoreVersion;

/**
 * Keeps the latest time at which the configuration of this instance was known to be the newest. A
 * read of the store confirms the time at which it was sent. Another instance that has read the
 * store confirms the time at which it was asked, less the age of its own confirmation: it answered
 * after that, so the confirmation is at least as new, however long the messages were on their way.
 *
 * <p>Load pattern: in large fleets few instances read the store and many ask them.
 *
 * <pre>{@code
 * freshness.recordRow(row.version());
 * freshness.recordRead(sentMs);
 * boolean canAdmit = bounds.canAdmit(freshness.confirmedMs(), nowMs);
 * }</pre>
 */
public final class ConfigurationFreshness {

  private StoreVersion rowVersion = StoreVersion.NONE;
  private long confirmedMs = FreshnessBounds.NEVER_MS;

  /**
   * Records that this instance applied a version of the configuration's row, or found it invalid.
   *
   * @param version version of the row in the store
   */
  public void recordRow(StoreVersion version) {
    rowVersion = rowVersion.max(version);
  }

  /**
   * Records that a read of the store has returned and that what it returned was applied.
   *
   * @param sentMs time before the read was sent
   */
  public void recordRead(long sentMs) {
    confirmedMs = Math.max(confirmedMs, sentMs);
  }

  /**
   * Records the answer of another instance.
   *
   * @param askedMs time before this instance asked, as the answer repeats it
   * @param newestRowVersion version of the row that the other instance knew to be the newest
   * @param ageMs age of the other instance's confirmation when it answered
   * @return whether the answer confirms the configuration of this instance; false if it is about a
   *     newer row, which has not arrived yet
   */
  public boolean recordAnswer(long askedMs, StoreVersion newestRowVersion, long ageMs, long nowMs) {
    if (newestRowVersion.isAfter(rowVersion) || ageMs < 0 || askedMs > nowMs) {
      return false;
    }
    confirmedMs = Math.max(confirmedMs, askedMs - ageMs);
    return true;
  }

  /** Returns whether the configuration was ever confirmed. */
  public boolean isConfirmed() {
    return confirmedMs != FreshnessBounds.NEVER_MS;
  }

  /** Returns the latest time at which the configuration was known to be the newest. */
  public long confirmedMs() {
    return confirmedMs;
  }

  /** Returns the version of the row that this instance applied last, or none. */
  public StoreVersion rowVersion() {
    return rowVersion;
  }
}
