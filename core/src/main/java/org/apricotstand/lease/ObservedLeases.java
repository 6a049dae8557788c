package org.apricotstand.lease;

import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;

/** Remembers the lease rows of other instances and for how long each has stayed unchanged. */
final class ObservedLeases {

  private final Map<InstanceId, Observation> observations = new HashMap<>();

  /** A lease row with the times of the first and the last read of this version. */
  private record Observation(Versioned<LeaseRow> versionedRow, long firstSeenMs, long lastReadMs) {}

  /** Records a row that was read or written. */
  void recordRow(InstanceId holder, Versioned<LeaseRow> row, long nowMs) {
    Observation previous = observations.get(holder);
    boolean unchanged = previous != null && previous.versionedRow().version() == row.version();
    observations.put(
        holder, new Observation(row, unchanged ? previous.firstSeenMs() : nowMs, nowMs));
  }

  /** Returns the row as last recorded, or null when there is none. */
  Versioned<LeaseRow> rowOf(InstanceId holder) {
    Observation last = observations.get(holder);
    return last == null ? null : last.versionedRow();
  }

  /**
   * Returns whether the term has ended; an ended term never becomes valid again. A row with a lower
   * term was read before this term began and proves nothing.
   */
  boolean hasTermEnded(InstanceId holder, long term) {
    Observation last = observations.get(holder);
    if (last == null || last.versionedRow().isAbsent()) {
      return false;
    }
    LeaseRow row = last.versionedRow().row();
    return row.term() > term || row.term() == term && !row.isHeld(term);
  }

  /** Returns whether the holder released the term itself, with no request left. */
  boolean isReleased(InstanceId holder, long term) {
    Observation last = observations.get(holder);
    return last != null
        && !last.versionedRow().isAbsent()
        && last.versionedRow().row().term() == term
        && last.versionedRow().row().state() == LeaseRow.LeaseState.RELEASED;
  }

  /** Returns for how long reads have shown the present version, or -1 when it was never read. */
  long unchangedForMs(InstanceId holder) {
    Observation last = observations.get(holder);
    return last == null ? -1 : last.lastReadMs() - last.firstSeenMs();
  }

  /** Returns whether the row of a silent holder should be read again. */
  boolean isReadDue(InstanceId holder, long nowMs) {
    Observation last = observations.get(holder);
    return last == null || nowMs - last.lastReadMs() >= LeaseTimes.FAST_READ_INTERVAL_MS;
  }

  /** Forgets a holder that is live again, so that a later takeover wait starts from zero. */
  void forget(InstanceId holder) {
    observations.remove(holder);
  }
}
