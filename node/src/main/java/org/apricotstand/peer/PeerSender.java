package org.apricotstand.peer;

import org.apricotstand.model.InstanceId;

/** Port to other instances. */
@FunctionalInterface
public interface PeerSender {

  /**
   * Sends a message to a peer.
   *
   * @return false when the peer's address is unknown
   */
  boolean send(InstanceId peer, PeerMessage message);
}
