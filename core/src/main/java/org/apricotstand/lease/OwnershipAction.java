package org.apricotstand.lease;

import java.util.Optional;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * An action that the ownership machine requests. Every store call is answered by exactly one event
 * with the same call identifier.
 */
public sealed interface OwnershipAction {

  /** Writes the own lease row if it still has the expected version. */
  record WriteLease(long callId, long expectedVersion, LeaseRow row) implements OwnershipAction {}

  /**
   * Writes an owner row and, if needed, voids the lease row of the old owner in one transaction.
   *
   * @param voidedLease lease row to write if it still has the given version, or nothing
   * @param expectedVersion expected version of the owner row
   */
  record WriteOwner(
      long callId, Optional<Versioned<LeaseRow>> voidedLease, long expectedVersion, OwnerRow row)
      implements OwnershipAction {}

  /** Reads a lease row. */
  record ReadLease(long callId, InstanceId holder) implements OwnershipAction {}

  /** Reads an owner row. */
  record ReadOwner(long callId, TargetId target) implements OwnershipAction {}

  /** Asks a peer to promise not to take over targets of this instance. */
  record RequestPromise(InstanceId to, long term, long round) implements OwnershipAction {}

  /** Grants or refuses a promise that a peer asked for. */
  record AnswerPromise(InstanceId to, long round, boolean granted) implements OwnershipAction {}

  /** Offers an owned target to another instance. */
  record OfferHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /** Tells the former owner that this instance took the offered target. */
  record ConfirmHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /** Tells the new owner that this instance has no more requests on the target. */
  record FinishHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /**
   * Reports that this instance owns a target from now on.
   *
   * @param quarantined whether adapters found in its slots must not be evicted yet
   */
  record OwnershipGained(TargetId target, long fencing, boolean quarantined)
      implements OwnershipAction {}

  /** Reports that inherited slots of a target may be evicted from now on. */
  record QuarantineEnded(TargetId target) implements OwnershipAction {}

  /** Reports that this instance no longer owns a target. */
  record OwnershipLost(TargetId target, String reason) implements OwnershipAction {}
}
