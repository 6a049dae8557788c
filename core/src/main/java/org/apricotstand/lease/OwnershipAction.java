package org.apricotstand.lease;

import java.util.Optional;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** Something to do for the ownership machine. Every call is answered by exactly one event. */
public sealed interface OwnershipAction {

  /** Writes the own lease row if it still has the given version. */
  record WriteLease(long call, long version, LeaseRow row) implements OwnershipAction {}

  /**
   * Writes an owner row, and voids the lease row of the old owner, in one transaction.
   *
   * @param lease lease row to write under the condition of its version, or nothing
   * @param version expected version of the owner row
   */
  record WriteOwner(long call, Optional<Versioned<LeaseRow>> lease, long version, OwnerRow row)
      implements OwnershipAction {}

  /** Reads a lease row. */
  record ReadLease(long call, InstanceId holder) implements OwnershipAction {}

  /** Reads an owner row. */
  record ReadOwner(long call, TargetId target) implements OwnershipAction {}

  /** Asks a peer for a promise. */
  record AskPromise(InstanceId to, long term, long round) implements OwnershipAction {}

  /** Answers a peer that asked for a promise. */
  record AnswerPromise(InstanceId to, long round, boolean granted) implements OwnershipAction {}

  /** Offers a target to its next owner. */
  record OfferHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /** Tells the former owner that an offered target is taken. */
  record ConfirmHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /** Tells the new owner that this instance runs nothing on the target any more. */
  record FinishHandover(InstanceId to, TargetId target, long fencing) implements OwnershipAction {}

  /**
   * This instance owns a target from now on.
   *
   * @param quarantined whether adapters found in its slots must not be evicted yet
   */
  record Gained(TargetId target, long fencing, boolean quarantined) implements OwnershipAction {}

  /** Inherited slots of a target may be evicted from now on. */
  record QuarantineEnded(TargetId target) implements OwnershipAction {}

  /** This instance no longer owns a target. */
  record Lost(TargetId target, String reason) implements OwnershipAction {}
}
