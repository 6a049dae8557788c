package org.apricotstand.membership;

import java.util.List;
import java.util.Set;
import org.apricotstand.model.InstanceId;

/** An event that the {@link Membership} handles. */
public sealed interface MembershipEvent {

  /**
   * An instance or target of the platform's list or of the settings.
   *
   * @param incarnation number that increases with every start, 0 when unknown
   * @param leaving whether it is being removed
   */
  record Member(
      String name,
      boolean isInstance,
      long incarnation,
      String domain,
      String address,
      boolean leaving) {}

  /** The instances of the settings were read. */
  record InstancesConfigured(List<Member> members) implements MembershipEvent {}

  /** The platform's list was read. It is complete but lags behind the actual state. */
  record InstanceListRead(List<Member> members) implements MembershipEvent {}

  /** A hello message arrived on a new link. */
  record HelloReceived(InstanceId from, long incarnation, String domain)
      implements MembershipEvent {}

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

  /** The set of instances to which heartbeats are sent changed. */
  record MonitoredPeersChanged(Set<InstanceId> peers) implements MembershipEvent {}

  /** Time has passed; expected several times a second. */
  record Tick() implements MembershipEvent {}
}
