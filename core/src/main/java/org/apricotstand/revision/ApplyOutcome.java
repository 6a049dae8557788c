package org.apricotstand.revision;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** How an attempt to apply a set of declarations ended. */
public sealed interface ApplyOutcome {

  /** The set was accepted. */
  record Accepted(long revision) implements ApplyOutcome {}

  /** The accepted revision has the same content already. */
  record Unchanged(long revision) implements ApplyOutcome {}

  /**
   * Another change was accepted; this one never takes effect.
   *
   * @param other accepted revision
   * @param base revision on which this change was based, as far as it is still known
   */
  record Conflict(Head other, Optional<Head> base) implements ApplyOutcome {}

  /** The platform could not be used; the change never takes effect. */
  record Refused(Failure failure) implements ApplyOutcome {}

  /** The change may be accepted as the given revision; the head row could not be read back. */
  record Unknown(long revision, Failure failure) implements ApplyOutcome {}
}
