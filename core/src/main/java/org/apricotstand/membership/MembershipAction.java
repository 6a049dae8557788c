package org.apricotstand.membership;

import org.apricotstand.model.InstanceId;

/** An action that the {@link Membership} requests. */
public sealed interface MembershipAction {

  /**
   * Sends a heartbeat.
   *
   * @param sequence number of this heartbeat
   * @param echoed number of the last heartbeat received from the instance, 0 for none
   */
  record SendHeartbeat(InstanceId to, long sequence, long echoed) implements MembershipAction {}

  /** Closes the link to a silent peer, since the connection may be half open. */
  record CloseLink(InstanceId peer) implements MembershipAction {}
}
