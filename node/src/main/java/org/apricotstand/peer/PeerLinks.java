package org.apricotstand.peer;

import java.util.Collection;
import java.util.Set;
import org.apricotstand.model.InstanceId;

/** Links to other instances. A link is opened by the first message to a peer. */
public interface PeerLinks extends PeerSender {

  /** Sends the same message to several peers, like {@link #send}, and encodes it only once. */
  void sendToAll(Collection<InstanceId> receivers, PeerMessage message);

  /** Closes the link to a peer, for example if the peer no longer answers on it. */
  void disconnect(InstanceId peer);

  /**
   * Closes the links that have carried only heartbeats for a time, except those to the given peers.
   */
  void closeIdleLinks(Set<InstanceId> peersToKeep, long minIdleMs);
}
