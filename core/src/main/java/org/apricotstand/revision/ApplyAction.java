package org.apricotstand.revision;

/** What an {@link ApplyMachine} wants done. */
public sealed interface ApplyAction {

  /** Reads the head row, not before the given time. */
  record ReadHead(long dueMs) implements ApplyAction {}

  /** Puts the content into the object store, not before the given time. */
  record StoreContent(long dueMs) implements ApplyAction {}

  /**
   * Replaces the head row if it has the expected version, not before the given time.
   *
   * @param expectedVersion version of the row, 0 for an absent one
   * @param next new row; its version is given by the table service
   */
  record Commit(long expectedVersion, HeadRow next, long dueMs) implements ApplyAction {}

  /** Ends with an outcome. */
  record Finish(ApplyOutcome outcome) implements ApplyAction {}
}
