package org.apricotstand.membership;

import org.apricotstand.model.InstanceId;

/** Something to do for the membership. */
public sealed interface MembershipAction {

  /** Sends a heartbeat. */
  record SendHeartbeat(InstanceId to, long sequence, long echoed) implements MembershipAction {}

  /** Closes the link to a silent peer, which may be half open. */
  record CloseLink(InstanceId peer) implements MembershipAction {}
}
