package org.apricotstand.lease;

import static com.google.common.collect.ImmutableList.toImmutableList;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotstand.lease.OwnerRow.FormerOwner;
import org.apricotstand.model.InstanceId;

/** Builds the rows that this instance writes for a target: owner rows and voided lease rows. */
final class OwnerRowFactory {

  /**
   * Maximum number of former owners; the oldest are dropped beyond it. Each takeover takes more
   * than ten seconds.
   */
  private static final int MAX_FORMER_OWNERS = 64;

  private final InstanceId self;
  private final long incarnation;
  private long lastNonce;

  OwnerRowFactory(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  private long nextNonce() {
    return ++lastNonce;
  }

  /**
   * Returns the row with which this instance becomes the owner. The present owner becomes a former
   * owner.
   *
   * @param released whether the present owner released its lease and runs no more requests
   * @param newestIncarnations greatest known incarnation by instance; former owners with an older
   *     one are gone and left out
   */
  OwnerRow takeoverRow(
      TargetState state, long term, boolean released, Map<InstanceId, Long> newestIncarnations) {
    OwnerRow row = state.row();
    List<FormerOwner> formerOwners = new ArrayList<>();
    if (row != null) {
      formerOwners.addAll(row.formerOwners());
      if (!released) {
        formerOwners.add(new FormerOwner(row.owner(), row.incarnation(), row.fencing()));
      }
      formerOwners.removeIf(
          f -> newestIncarnations.getOrDefault(f.instance(), 0L) > f.incarnation());
    }
    int dropped = Math.max(0, formerOwners.size() - MAX_FORMER_OWNERS);
    return new OwnerRow(
        state.id,
        self,
        incarnation,
        term,
        row == null ? 1 : row.fencing() + 1,
        nextNonce(),
        state.candidates,
        formerOwners.stream().skip(dropped).collect(toImmutableList()));
  }

  /** Returns the lease row that ends the term under which the owner row is valid. */
  LeaseRow voidedLeaseRow(OwnerRow row, Versioned<LeaseRow> lastSeen) {
    return lastSeen.isAbsent()
        ? new LeaseRow(
            row.owner(), row.incarnation(), row.term(), nextNonce(), LeaseRow.LeaseState.VOIDED)
        : lastSeen.row().asVoided(nextNonce());
  }

  /**
   * Returns the own row with the present candidates.
   *
   * @param quarantined whether the former owners are still waited for; they are removed otherwise
   */
  OwnerRow updatedRow(TargetState state, boolean quarantined) {
    OwnerRow row = state.row();
    List<FormerOwner> formerOwners = quarantined ? row.formerOwners() : List.of();
    return new OwnerRow(
        state.id,
        self,
        incarnation,
        row.term(),
        row.fencing(),
        nextNonce(),
        state.candidates,
        formerOwners);
  }
}
