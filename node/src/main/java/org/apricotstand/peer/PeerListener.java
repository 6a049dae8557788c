package org.apricotstand.peer;

import org.apricotstand.model.InstanceId;

/** Receives the messages and the state of links, on the control thread but for traffic. */
public interface PeerListener {

  /**
   * Takes a message that belongs to an answer in progress, on the thread of the link.
   *
   * @return whether the message was taken; others go to {@link #onMessage}
   */
  default boolean onTraffic(InstanceId from, PeerMessage message) {
    return false;
  }

  /** A message arrived. */
  void onMessage(InstanceId from, PeerMessage message);

  /** The last link to a peer closed. */
  default void onLinkClosed(InstanceId peer) {}

  /** A peer said hello on a new link. */
  default void onHello(InstanceId peer, PeerMessage.Hello hello) {}
}
