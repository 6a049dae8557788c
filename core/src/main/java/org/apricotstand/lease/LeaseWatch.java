package org.apricotstand.lease;

import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.InstanceId;

/** What is known of the lease rows of other instances. */
final class LeaseWatch {

  private final Map<InstanceId, Seen> seen = new HashMap<>();

  /** A row with the time at which this version was first seen. */
  private record Seen(Versioned<LeaseRow> found, long sinceMs, long readMs) {}

  void found(InstanceId holder, Versioned<LeaseRow> found, long nowMs) {
    Seen before = seen.get(holder);
    boolean same = before != null && before.found().version() == found.version();
    seen.put(holder, new Seen(found, same ? before.sinceMs() : nowMs, nowMs));
  }

  /** Returns the row as last seen, or null. */
  Versioned<LeaseRow> row(InstanceId holder) {
    Seen last = seen.get(holder);
    return last == null ? null : last.found();
  }

  /**
   * Returns whether the term ended for good; it never becomes valid again. A row with a lesser term
   * was read before the term began and says nothing.
   */
  boolean hasEnded(InstanceId holder, long term) {
    Seen last = seen.get(holder);
    if (last == null || last.found().isAbsent()) {
      return false;
    }
    LeaseRow row = last.found().row();
    return row.term() > term || row.term() == term && !row.isHeld(term);
  }

  /** Returns whether the holder ended the term itself with no request left. */
  boolean isReleased(InstanceId holder, long term) {
    Seen last = seen.get(holder);
    return last != null
        && !last.found().isAbsent()
        && last.found().row().term() == term
        && last.found().row().state() == LeaseRow.LeaseState.RELEASED;
  }

  /** Returns for how long the present version has been seen, or -1 when it was never read. */
  long unchangedMs(InstanceId holder) {
    Seen last = seen.get(holder);
    return last == null ? -1 : last.readMs() - last.sinceMs();
  }

  /** Returns whether a read is due while the holder is silent. */
  boolean isReadDue(InstanceId holder, long nowMs) {
    Seen last = seen.get(holder);
    return last == null || nowMs - last.readMs() >= LeaseTimes.FAST_READ_MS;
  }

  /** Forgets a holder that is heard again, so that a later watch starts anew. */
  void forget(InstanceId holder) {
    seen.remove(holder);
  }
}
