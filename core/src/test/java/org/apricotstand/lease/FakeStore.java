package org.apricotstand.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Tables {@code leases} and {@code owners} in memory, with conditional transactions. */
final class FakeStore {

  private final Map<InstanceId, Versioned<LeaseRow>> leases = new HashMap<>();
  private final Map<TargetId, Versioned<OwnerRow>> owners = new HashMap<>();
  private long lastVersion;

  Versioned<LeaseRow> lease(InstanceId holder) {
    return leases.getOrDefault(holder, new Versioned<>(0, null));
  }

  Versioned<OwnerRow> owner(TargetId target) {
    return owners.getOrDefault(target, new Versioned<>(0, null));
  }

  /** Writes a lease row; returns the new version, or nothing when the condition does not hold. */
  Optional<List<Long>> write(OwnershipAction.WriteLease write) {
    if (lease(write.row().holder()).version() != write.expectedVersion()) {
      return Optional.empty();
    }
    return Optional.of(List.of(put(write.row())));
  }

  /** Writes an owner row, and a voided lease row with it; returns the new versions as above. */
  Optional<List<Long>> write(OwnershipAction.WriteOwner write) {
    Versioned<LeaseRow> lease = write.voidedLease().orElse(null);
    boolean leaseHolds = lease == null || lease(lease.row().holder()).version() == lease.version();
    if (!leaseHolds || owner(write.row().target()).version() != write.expectedVersion()) {
      return Optional.empty();
    }
    if (lease == null) {
      return Optional.of(List.of(put(write.row())));
    }
    return Optional.of(List.of(put(lease.row()), put(write.row())));
  }

  private long put(LeaseRow row) {
    leases.put(row.holder(), new Versioned<>(++lastVersion, row));
    return lastVersion;
  }

  private long put(OwnerRow row) {
    owners.put(row.target(), new Versioned<>(++lastVersion, row));
    return lastVersion;
  }
}
