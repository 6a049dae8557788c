package org.apricotstand.lease;

import java.util.Collection;
import java.util.List;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.Rendezvous;

/** Instances that may own a target. */
final class Candidates {

  /** Three candidates survive the loss of any two instances. */
  private static final int COUNT = 3;

  private Candidates() {}

  /** Returns the candidates by rank; names alone decide, so that a restart changes nothing. */
  static List<InstanceId> of(TargetId target, Collection<InstanceId> instances) {
    return Rendezvous.rank(target.value(), instances, InstanceId::value).stream()
        .limit(COUNT)
        .toList();
  }
}
