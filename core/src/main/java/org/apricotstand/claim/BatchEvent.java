package org.apricotstand.claim;

import java.util.List;
import java.util.Map;

/** Something that happened to the writes of claims. */
public sealed interface BatchEvent {

  /** A write was ordered. */
  record Submitted(ClaimWrite write) implements BatchEvent {}

  /** A transaction took effect; the versions are in the order of its writes. */
  record Committed(long batchId, List<Long> versions) implements BatchEvent {}

  /** A transaction had no effect; the current rows of its conditions by key, absent left out. */
  record Conflicted(long batchId, Map<String, StoredClaim> current) implements BatchEvent {}

  /** A transaction may have taken effect. */
  record Lost(long batchId) implements BatchEvent {}

  /** A transaction was not sent. */
  record Unreachable(long batchId) implements BatchEvent {}

  /** The time of a {@link BatchAction.WakeAt} came. */
  record Woken() implements BatchEvent {}
}
