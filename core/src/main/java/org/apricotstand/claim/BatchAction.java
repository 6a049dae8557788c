package org.apricotstand.claim;

import java.util.List;

/** An action that a {@link ClaimBatcher} requests. */
public sealed interface BatchAction {

  /** Commits writes of distinct rows in one transaction. */
  record Commit(long batchId, List<ClaimWrite> writes) implements BatchAction {}

  /** Reports the result of a write to the attempt that submitted it. */
  record ReportResult(ClaimWrite write, WriteResult result) implements BatchAction {}

  /**
   * Sends {@link BatchEvent.TimerFired} at a time.
   *
   * @param dueMs monotonic time
   */
  record SetTimer(long dueMs) implements BatchAction {}
}
