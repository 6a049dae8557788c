package org.apricotstand.membership;

import java.util.List;
import java.util.Set;
import org.apricotstand.model.InstanceId;

/** Something that shows which instances and targets there are. */
public sealed interface MembershipEvent {

  /**
   * One instance or target of the platform's list.
   *
   * @param incarnation number that is new at every start, 0 when unknown
   * @param leaving whether it is being removed
   */
  record Member(
      String name,
      boolean isInstance,
      long incarnation,
      String domain,
      String address,
      boolean leaving) {}

  /** Instances named by the settings. */
  record Configured(List<Member> members) implements MembershipEvent {}

  /** The platform's whole list; it lags. */
  record ListRead(List<Member> members) implements MembershipEvent {}

  /** An instance said hello on a new link. */
  record Greeted(InstanceId from, long incarnation, String domain) implements MembershipEvent {}

  /**
   * A heartbeat arrived.
   *
   * @param sequence number of this heartbeat
   * @param echoed number of the last heartbeat that the sender received from this instance
   */
  record HeartbeatReceived(InstanceId from, boolean leaving, long sequence, long echoed)
      implements MembershipEvent {}

  /** The last link to an instance closed or could not be opened. */
  record LinkClosed(InstanceId peer) implements MembershipEvent {}

  /** The instances to which heartbeats are sent changed. */
  record Watched(Set<InstanceId> peers) implements MembershipEvent {}

  /** Time passed; expected several times a second. */
  record Tick() implements MembershipEvent {}
}
