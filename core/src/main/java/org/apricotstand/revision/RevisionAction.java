package org.apricotstand.revision;

import org.apricotstand.model.InstanceId;

/** What a {@link RevisionMachine} wants done. */
public sealed interface RevisionAction {

  /** Reads the head row. */
  record ReadHead() implements RevisionAction {}

  /** Fetches content from the object store. */
  record FetchFromStore(Head head) implements RevisionAction {}

  /** Asks a peer for content; the number 0 asks for whatever it has. */
  record AskPeer(InstanceId peer, long revision) implements RevisionAction {}

  /** Puts the accepted content of a revision in force. */
  record PutInForce(Head head) implements RevisionAction {}

  /** Tells a peer of a revision. */
  record Announce(InstanceId peer, Head head) implements RevisionAction {}

  /** Sends the content in force to a peer. */
  record SendContent(InstanceId peer, Head head) implements RevisionAction {}

  /** Tells operators of something that should not happen. */
  record Report(String code, Head head) implements RevisionAction {}
}
