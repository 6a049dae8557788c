package org.apricotstand.revision;

import org.apricotstand.model.InstanceId;

/** An action that a {@link RevisionMachine} requests. */
public sealed interface RevisionAction {

  /** Reads the head row. */
  record ReadHead() implements RevisionAction {}

  /** Fetches the content of a revision from the object store. */
  record FetchFromStore(AcceptedRevision accepted) implements RevisionAction {}

  /** Requests the content of a revision from a peer; the number 0 requests its active one. */
  record RequestFromPeer(InstanceId peer, long revision) implements RevisionAction {}

  /** Makes a revision, whose content has been verified, the active one. */
  record Activate(AcceptedRevision accepted) implements RevisionAction {}

  /** Announces a revision to a peer. */
  record Announce(InstanceId peer, AcceptedRevision accepted) implements RevisionAction {}

  /** Sends the content of the active revision to a peer. */
  record SendContent(InstanceId peer, AcceptedRevision accepted) implements RevisionAction {}

  /** Reports to operators a state that should not occur, by its code. */
  record ReportAnomaly(String code, AcceptedRevision accepted) implements RevisionAction {}
}
