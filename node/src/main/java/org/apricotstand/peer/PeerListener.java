package org.apricotstand.peer;

import org.apricotstand.model.InstanceId;

/**
 * Receives the messages of peers and changes of the links to them. All methods but {@link
 * #handleOnLinkThread} are called on the control thread.
 */
public interface PeerListener {

  /**
   * Receives a message on the event loop of the link, before it goes to the control thread; must
   * not block. Messages that belong to an answer in progress are handled here.
   *
   * @return true if the message has been handled and must not be passed to other listeners; if all
   *     listeners return false, it is passed to {@link #onMessage}
   */
  default boolean handleOnLinkThread(InstanceId from, PeerMessage message) {
    return false;
  }

  /** Called for each message that no listener has handled on the thread of the link. */
  void onMessage(InstanceId from, PeerMessage message);

  /** Called when the link to a peer has closed or could not be opened. */
  default void onLinkClosed(InstanceId peer) {}

  /** Called when a peer has identified itself on a new connection. */
  default void onHello(InstanceId peer, PeerMessage.Hello hello) {}
}
