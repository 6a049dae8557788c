package org.apricotstand.claim;

import java.util.List;

/** Action that {@link ClaimBatcher} requests. */
public sealed interface BatchAction {

  /** Commit writes of distinct rows in one transaction. */
  record Commit(long batchId, List<ClaimWrite> writes) implements BatchAction {}

  /** Report the result of a write to the attempt that submitted it. */
  record ReportResult(ClaimWrite write, WriteResult result) implements BatchAction {}

  /**
   * Send {@link BatchEvent.TimerFired} at a time.
   *
   * @param dueMs monotonic time
   */
  record SetTimer(long dueMs) implements BatchAction {}
}
