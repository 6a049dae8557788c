package org.apricotstand.claim;

import java.util.List;
import java.util.Map;

/** An event that a {@link ClaimBatcher} handles. */
public sealed interface BatchEvent {

  /** An attempt submitted a write. */
  record WriteSubmitted(ClaimWrite write) implements BatchEvent {}

  /**
   * A transaction took effect.
   *
   * @param versions new versions of the rows, in the order of the writes
   */
  record Committed(long batchId, List<Long> versions) implements BatchEvent {}

  /**
   * A condition of a transaction failed, so that it had no effect.
   *
   * @param current current rows of the conditions by key, without those that do not exist
   */
  record Conflicted(long batchId, Map<String, StoredClaim> current) implements BatchEvent {}

  /** It is unknown whether a transaction took effect; it may still do so. */
  record OutcomeUnknown(long batchId) implements BatchEvent {}

  /** A transaction was not sent to the table service. */
  record Unreachable(long batchId) implements BatchEvent {}

  /** The time of a {@link BatchAction.SetTimer} was reached. */
  record TimerFired() implements BatchEvent {}
}
