package org.apricotstand.revision;

import java.util.List;
import java.util.Optional;
import org.apricotstand.model.InstanceId;

/** An event that a {@link RevisionMachine} handles. */
public sealed interface RevisionEvent {

  /** The head row was read. */
  record HeadRead(Optional<AcceptedRevision> head) implements RevisionEvent {}

  /** The head row could not be read. */
  record HeadUnreadable() implements RevisionEvent {}

  /** A peer announced a revision. */
  record RevisionAnnounced(InstanceId from, AcceptedRevision accepted) implements RevisionEvent {}

  /** A peer requested the content of a revision; the number 0 requests any revision. */
  record ContentRequested(InstanceId from, long revision) implements RevisionEvent {}

  /** The content of a revision arrived, has the expected hash and passed validation. */
  record ContentVerified(AcceptedRevision accepted) implements RevisionEvent {}

  /** The object store did not return the content of a revision. */
  record ContentMissing(AcceptedRevision accepted) implements RevisionEvent {}

  /** The content of a revision arrived but is damaged or invalid, as the code says. */
  record ContentRejected(AcceptedRevision accepted, String code) implements RevisionEvent {}

  /** A link to a peer was opened. */
  record PeerConnected(InstanceId peer) implements RevisionEvent {}

  /** The list of the other instances changed. */
  record PeersUpdated(List<InstanceId> peers) implements RevisionEvent {}

  /** Time has passed; expected several times a second. */
  record Tick() implements RevisionEvent {}
}
