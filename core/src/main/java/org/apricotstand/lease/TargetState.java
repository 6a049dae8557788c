package org.apricotstand.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** State of one target as the ownership machine sees it. Times are monotonic. */
final class TargetState {

  /**
   * A write of the owner row whose outcome is not known yet.
   *
   * @param voidedLease lease row of the owner to void in the same transaction, with its expected
   *     version
   * @param expectedVersion expected version of the owner row
   * @param takenFrom owner from which the target is taken without an offer, or null
   */
  record RowWrite(
      OwnerRow row,
      Optional<Versioned<LeaseRow>> voidedLease,
      long expectedVersion,
      InstanceId takenFrom) {}

  /** A handover offer of the present owner. */
  record Offer(InstanceId from, long fencing, long validUntilMs) {}

  final TargetId id;
  List<InstanceId> candidates = List.of();
  Versioned<OwnerRow> latestRow;

  /**
   * Time of the last read of the owner row, plus jitter; {@link LeaseTimes#NEVER} makes a read due
   * at once.
   */
  long lastReadMs = LeaseTimes.NEVER;

  /** Time since which the target has no owner or the term of its owner can be ended. */
  long takeableSinceMs = LeaseTimes.NEVER;

  /** Time since which the stored owner row differs from the one that should be stored. */
  long rowStaleSinceMs = LeaseTimes.NEVER;

  boolean owned;

  /** Protection of inherited slots, or null when they may be evicted. */
  Quarantine quarantine;

  RowWrite pendingWrite;

  /** Whether an attempt of the pending write may have taken effect or may still do so. */
  boolean writeMaybeApplied;

  /** Earliest time of the next attempt of the pending write. */
  long writeRetryMs;

  /** Handover offer received for this target, or null. */
  Offer offer;

  /** Instance to which this instance last offered the target, or null. */
  InstanceId offeredTo;

  long lastOfferMs = LeaseTimes.NEVER;

  /** Greatest fencing token under which no request of this instance is left. */
  long endedFencing = -1;

  long lastOwnedFencing = -1;

  /**
   * Number of requests in the engine's batch at its last report, or {@link Integer#MAX_VALUE} from
   * the start of an ownership until a report arrives.
   */
  int runningRequests;

  TargetState(TargetId id) {
    this.id = id;
  }

  boolean isRowKnown() {
    return latestRow != null;
  }

  boolean isUnowned() {
    return latestRow != null && latestRow.isAbsent();
  }

  OwnerRow row() {
    return latestRow == null ? null : latestRow.row();
  }

  /**
   * Returns the other instances that may take the target, whether or not a pending write of its row
   * took effect.
   */
  Set<InstanceId> otherCandidates(InstanceId self) {
    Set<InstanceId> others = new HashSet<>(row() == null ? List.of() : row().candidates());
    if (pendingWrite != null) {
      others.addAll(pendingWrite.row().candidates());
    }
    others.remove(self);
    return others;
  }
}
