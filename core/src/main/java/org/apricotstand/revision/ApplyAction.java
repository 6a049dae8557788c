package org.apricotstand.revision;

/** An action that an {@link ApplyMachine} requests. Due times are monotonic, in milliseconds. */
public sealed interface ApplyAction {

  /** Reads the head row, at the due time at the earliest. */
  record ReadHead(long dueMs) implements ApplyAction {}

  /** Puts the content into the object store, at the due time at the earliest. */
  record StoreContent(long dueMs) implements ApplyAction {}

  /**
   * Replaces the head row if it still has the expected version, at the due time at the earliest.
   *
   * @param expectedVersion version of the row, 0 for an absent one
   * @param newRow new row; the table service assigns its version
   */
  record Commit(long expectedVersion, HeadRow newRow, long dueMs) implements ApplyAction {}

  /** Ends the attempt with an outcome. */
  record Finish(ApplyOutcome outcome) implements ApplyAction {}
}
