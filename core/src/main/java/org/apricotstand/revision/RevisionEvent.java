package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import org.apricotstand.model.InstanceId;

/** What happened to a {@link RevisionMachine}. */
public sealed interface RevisionEvent {

  /** The head row was read. */
  record HeadRead(Optional<Head> head) implements RevisionEvent {}

  /** The head row could not be read. */
  record HeadUnreadable() implements RevisionEvent {}

  /** A peer told of a revision. */
  record Announced(InstanceId from, Head head) implements RevisionEvent {}

  /** A peer asked for the content of a revision, or of any with the number 0. */
  record Wanted(InstanceId from, long revision) implements RevisionEvent {}

  /** Content arrived, has the right hash and is without fault. */
  record ContentAccepted(Head head) implements RevisionEvent {}

  /** The object store did not deliver content. */
  record ContentMissing(Head head) implements RevisionEvent {}

  /** Content arrived but is damaged or faulty. */
  record ContentRejected(Head head, String code) implements RevisionEvent {}

  /** A link to a peer was opened. */
  record PeerGreeted(InstanceId peer) implements RevisionEvent {}

  /** The other instances are known. */
  record PeersKnown(List<InstanceId> peers) implements RevisionEvent {}

  /** Time passed. */
  record Tick() implements RevisionEvent {}
}
