package org.apricotstand.suspect;

import org.apricotstand.model.TargetId;

/** An event that a {@link SuspectRegistry} handles, observed by this instance or another one. */
public sealed interface SuspectEvent {

  /** The connection of a running request was lost; it is not known yet if the target crashed. */
  record ConnectionLost(String fingerprint, TargetId target, long incarnation)
      implements SuspectEvent {}

  /** The target crashed while it ran the request. */
  record TargetCrashed(String fingerprint, TargetId target, long incarnation)
      implements SuspectEvent {}

  /** The target turned out not to have crashed. */
  record TargetSurvived(String fingerprint, TargetId target, long incarnation)
      implements SuspectEvent {}

  /** A target ran the request to its end, so that it is no longer suspected. */
  record RequestFinished(String fingerprint) implements SuspectEvent {}

  /**
   * A suspect was queued to run alone.
   *
   * @param deadlineMs when the request ends at the latest, monotonic
   */
  record TrialStarted(String fingerprint, long deadlineMs) implements SuspectEvent {}

  /** The run of a suspect ended, with any outcome. */
  record TrialEnded(String fingerprint) implements SuspectEvent {}
}
