package org.apricotstand.revision;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** The result of an action of an {@link ApplyMachine}. */
public sealed interface ApplyEvent {

  /** The head row was read. */
  record HeadRead(Optional<HeadRow> row) implements ApplyEvent {}

  /** The head row could not be read. */
  record HeadUnreadable(Failure failure) implements ApplyEvent {}

  /** The content is in the object store. */
  record ContentStored() implements ApplyEvent {}

  /** The call to store the content failed; the content may be missing from the object store. */
  record ContentNotStored(Failure failure) implements ApplyEvent {}

  /** The head row was replaced. */
  record Committed() implements ApplyEvent {}

  /** The head row was not replaced, since it no longer had the expected version. */
  record Conflicted(Optional<HeadRow> current) implements ApplyEvent {}

  /** The call to replace the head row failed; the row may have been replaced. */
  record CommitOutcomeUnknown(Failure failure) implements ApplyEvent {}

  /** The call to replace the head row was not sent, so this attempt did not replace the row. */
  record CommitNotSent(Failure failure) implements ApplyEvent {}
}
