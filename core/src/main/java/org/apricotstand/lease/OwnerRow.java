package org.apricotstand.lease;

import java.util.List;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Row of table {@code owners}: one per engine, written only at a change.
 *
 * @param target name of the engine
 * @param owner owning instance
 * @param incarnation process of the owner
 * @param term lease term of the owner under which the row is valid
 * @param fencing fencing number, greater with each change of owner
 * @param nonce identifies the write
 * @param candidates instances that may take the target while the owner may be frozen
 * @param formers earlier owners that may still run requests on the engine
 */
public record OwnerRow(
    TargetId target,
    InstanceId owner,
    long incarnation,
    long term,
    long fencing,
    long nonce,
    List<InstanceId> candidates,
    List<Former> formers) {

  /** Copies the lists. */
  public OwnerRow {
    candidates = candidates == null ? List.of() : List.copyOf(candidates);
    formers = formers == null ? List.of() : List.copyOf(formers);
  }

  /** An earlier owner that has not acknowledged the end of its requests. */
  public record Former(InstanceId instance, long incarnation, long fencing) {}
}
