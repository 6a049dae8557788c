package org.apricotstand.claim;

import java.util.List;

/** Something to do for the writes of claims. */
public sealed interface BatchAction {

  /** Commits writes of distinct rows in one transaction. */
  record Commit(long batchId, List<ClaimWrite> writes) implements BatchAction {}

  /** A write ended. */
  record Ended(ClaimWrite write, WriteResult result) implements BatchAction {}

  /** Sends {@link BatchEvent.Woken} at a time. */
  record WakeAt(long dueMs) implements BatchAction {}
}
