package org.apricotstand.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** What is known of one target. */
final class TargetState {

  /** A write of the owner row that has not been resolved. */
  record Write(
      OwnerRow row, Optional<Versioned<LeaseRow>> lease, long version, InstanceId takenFrom) {}

  /** An offer of the present owner. */
  record Offer(InstanceId from, long fencing, long untilMs) {}

  final TargetId id;
  List<InstanceId> candidates = List.of();
  Versioned<OwnerRow> known;
  long readMs = LeaseTimes.NEVER;
  long freeSinceMs = LeaseTimes.NEVER;
  long candidatesChangedMs = LeaseTimes.NEVER;
  boolean owned;
  Quarantine quarantine;
  Write write;
  boolean writeSent;
  long writeDueMs;
  Offer offer;
  InstanceId offeredTo;
  long offeredMs = LeaseTimes.NEVER;

  /** Fencing numbers up to this one have no more requests of this instance. */
  long endedFencing = -1;

  long lastOwnedFencing = -1;
  int running;

  TargetState(TargetId id) {
    this.id = id;
  }

  boolean isRead() {
    return known != null;
  }

  boolean isUnowned() {
    return known != null && known.isAbsent();
  }

  OwnerRow row() {
    return known == null ? null : known.row();
  }

  /** Returns the others that may take the target, whichever write of its row took effect. */
  Set<InstanceId> otherTakers(InstanceId self) {
    Set<InstanceId> takers = new HashSet<>(row() == null ? List.of() : row().candidates());
    if (write != null) {
      takers.addAll(write.row().candidates());
    }
    takers.remove(self);
    return takers;
  }
}
