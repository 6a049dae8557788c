package org.apricotstand.revision;

import java.util.Optional;
import org.apricotstand.model.Failure;

/** What happened to an {@link ApplyMachine}. */
public sealed interface ApplyEvent {

  /** The head row was read. */
  record HeadRead(Optional<HeadRow> row) implements ApplyEvent {}

  /** The head row could not be read. */
  record HeadUnreadable(Failure failure) implements ApplyEvent {}

  /** The content is in the object store. */
  record ContentStored() implements ApplyEvent {}

  /** The content may not be in the object store. */
  record ContentNotStored(Failure failure) implements ApplyEvent {}

  /** The head row was replaced. */
  record Committed() implements ApplyEvent {}

  /** The head row was not replaced, since it was no longer the expected one. */
  record Conflicted(Optional<HeadRow> current) implements ApplyEvent {}

  /** The head row may have been replaced. */
  record CommitUnknown(Failure failure) implements ApplyEvent {}

  /** Nothing was sent; the head row was not replaced by this attempt. */
  record CommitNotSent(Failure failure) implements ApplyEvent {}
}
