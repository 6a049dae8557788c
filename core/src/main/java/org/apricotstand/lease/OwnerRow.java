package org.apricotstand.lease;

import java.util.List;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Row of table {@code owners}, one per engine. It is written only when something changes.
 *
 * @param target name of the engine
 * @param owner owning instance
 * @param incarnation incarnation of the owner's process
 * @param term lease term of the owner under which the row is valid
 * @param fencing fencing token, increased with each change of owner
 * @param nonce identifies the write
 * @param candidates instances that may take the target while the owner may be serving without a
 *     connection to the platform
 * @param formerOwners former owners that may still run requests on the engine
 */
public record OwnerRow(
    TargetId target,
    InstanceId owner,
    long incarnation,
    long term,
    long fencing,
    long nonce,
    List<InstanceId> candidates,
    List<FormerOwner> formerOwners) {

  /** Copies the lists; a missing list becomes empty. */
  public OwnerRow {
    candidates = candidates == null ? List.of() : List.copyOf(candidates);
    formerOwners = formerOwners == null ? List.of() : List.copyOf(formerOwners);
  }

  /** A former owner that has not acknowledged the end of its requests. */
  public record FormerOwner(InstanceId instance, long incarnation, long fencing) {}
}
