package org.apricotstand.suspect;

import java.util.Set;
import org.apricotstand.model.TargetId;

/** Decision on whether and how a request may run. */
public sealed interface RunDecision {

  /** The request is not a suspect and runs like any other. */
  record Unrestricted() implements RunDecision {}

  /**
   * The request runs alone in its batch.
   *
   * @param crashedTargets targets that it crashed; another one is to be chosen
   */
  record Alone(Set<TargetId> crashedTargets) implements RunDecision {}

  /**
   * The request does not run now.
   *
   * @param code failure code
   * @param retryAfterMs time after which the caller may retry
   */
  record Refused(String code, long retryAfterMs) implements RunDecision {}
}
