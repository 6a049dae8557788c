package org.apricotstand.suspect;

import org.apricotstand.model.TargetId;

/** Something that was learnt of a request and a target, here or at another instance. */
public sealed interface SuspectEvent {

  /** The connection of a running request was lost; whether the target crashed is not known yet. */
  record ConnectionLost(String fingerprint, TargetId target, long incarnation)
      implements SuspectEvent {}

  /** The target crashed while it ran the request. */
  record Crashed(String fingerprint, TargetId target, long incarnation) implements SuspectEvent {}

  /** The target did not crash after all. */
  record Survived(String fingerprint, TargetId target, long incarnation) implements SuspectEvent {}

  /** A target ran the request to its end; it is no longer suspected. */
  record Finished(String fingerprint) implements SuspectEvent {}

  /** A suspect was queued to run alone. */
  record TrialStarted(String fingerprint, long deadlineMs) implements SuspectEvent {}

  /** The run of a suspect ended, whatever the ending. */
  record TrialEnded(String fingerprint) implements SuspectEvent {}
}
