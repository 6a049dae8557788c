package org.apricotstand.lease;

import java.util.Collection;
import java.util.List;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.Rendezvous;

/** Selects the instances that may own a target. */
final class OwnerCandidates {

  /** Three candidates survive the loss of any two instances. */
  private static final int MAX_CANDIDATES = 3;

  private OwnerCandidates() {}

  /**
   * Returns the candidates, best rank first. The rank depends only on the names, so that a restart
   * of an instance does not change it.
   */
  static List<InstanceId> of(TargetId target, Collection<InstanceId> instances) {
    return Rendezvous.rank(target.value(), instances, InstanceId::value).stream()
        .limit(MAX_CANDIDATES)
        .toList();
  }
}
