package org.apricotstand.lease;

import static com.google.common.collect.ImmutableList.toImmutableList;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apricotstand.lease.OwnerRow.Former;
import org.apricotstand.model.InstanceId;

/** Makes the owner rows that this instance writes. */
final class OwnerRows {

  /** The oldest former owners are left out beyond this; each takeover takes over ten seconds. */
  private static final int MAX_FORMERS = 64;

  private final InstanceId self;
  private final long incarnation;
  private long nonce;

  OwnerRows(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  private long nextNonce() {
    return ++nonce;
  }

  /** Returns the row with which this instance takes the target from whoever the row names. */
  OwnerRow next(
      TargetState state, long term, boolean released, Map<InstanceId, Long> newestIncarnations) {
    OwnerRow row = state.row();
    List<Former> formers = new ArrayList<>();
    if (row != null) {
      formers.addAll(row.formers());
      if (!released) {
        formers.add(new Former(row.owner(), row.incarnation(), row.fencing()));
      }
      formers.removeIf(f -> newestIncarnations.getOrDefault(f.instance(), 0L) > f.incarnation());
    }
    int skipped = Math.max(0, formers.size() - MAX_FORMERS);
    return new OwnerRow(
        state.id,
        self,
        incarnation,
        term,
        row == null ? 1 : row.fencing() + 1,
        nextNonce(),
        state.candidates,
        formers.stream().skip(skipped).collect(toImmutableList()));
  }

  /** Returns the lease row that ends the term under which the row is owned. */
  LeaseRow voided(OwnerRow row, Versioned<LeaseRow> seen) {
    return seen.isAbsent()
        ? new LeaseRow(
            row.owner(), row.incarnation(), row.term(), nextNonce(), LeaseRow.LeaseState.VOIDED)
        : seen.row().voided(nextNonce());
  }

  /**
   * Returns the own row with the present candidates and with the former owners still waited for.
   */
  OwnerRow updated(TargetState state, boolean quarantined) {
    OwnerRow row = state.row();
    List<Former> formers = quarantined ? row.formers() : List.of();
    return new OwnerRow(
        state.id,
        self,
        incarnation,
        row.term(),
        row.fencing(),
        nextNonce(),
        state.candidates,
        formers);
  }
}
