package org.apricotstand.revision;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** The outcome of an attempt to apply a set of declarations. */
public sealed interface ApplyOutcome {

  /** The set was accepted as the given revision. */
  record Accepted(long revision) implements ApplyOutcome {}

  /** The current revision already has the same content. */
  record Unchanged(long revision) implements ApplyOutcome {}

  /**
   * Another change was accepted; this one never takes effect.
   *
   * @param other accepted revision
   * @param base revision on which this change was based, empty if there was none or the head row no
   *     longer lists it
   */
  record Conflict(AcceptedRevision other, Optional<AcceptedRevision> base)
      implements ApplyOutcome {}

  /** The change failed and never takes effect. */
  record Refused(Failure failure) implements ApplyOutcome {}

  /**
   * The change may have been accepted as the given revision; the head row did not show whether it
   * was.
   */
  record Unknown(long revision, Failure failure) implements ApplyOutcome {}
}
