package org.apricotstand.peer;

import org.apricotstand.model.InstanceId;

/** Sends messages to other instances. */
@FunctionalInterface
public interface PeerSender {

  /**
   * Sends a message to a peer. It may be lost without notice.
   *
   * @return false if the address of the peer is unknown
   */
  boolean send(InstanceId peer, PeerMessage message);
}
