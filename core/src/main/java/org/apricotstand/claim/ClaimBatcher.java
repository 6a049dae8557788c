package org.apricotstand.claim;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Groups writes of claim rows into transactions. A minimum interval separates two commits: a write
 * is committed at once if the interval has passed, and writes that arrive earlier share the next
 * transaction. If conditions of a transaction fail, only the writes concerned are reported as
 * conflicts, and the others are committed again.
 *
 * <pre>{@code
 * List<BatchAction> actions = batcher.handle(new BatchEvent.WriteSubmitted(write), nowMs);
 * }</pre>
 */
public final class ClaimBatcher {

  /** Maximum number of writes in one transaction. */
  static final int MAX_WRITES_PER_TRANSACTION = 64;

  /**
   * Estimated bytes from which a transaction takes no further write. The stores accept bodies of a
   * few megabytes.
   */
  static final int MAX_BYTES_PER_TRANSACTION = 1024 * 1024;

  /**
   * Maximum number of transactions in progress. It is more than one so that a transaction that
   * hangs does not block all others.
   */
  static final int MAX_TRANSACTIONS_IN_FLIGHT = 4;

  private final long minIntervalMs;
  private final List<ClaimWrite> waitingWrites = new LinkedList<>();
  private final Map<Long, List<ClaimWrite>> batchesInFlight = new HashMap<>();
  private long nextBatchId = 1;
  private long nextCommitAtMs = Long.MIN_VALUE;
  private long timerAtMs = Long.MIN_VALUE;

  /**
   * Creates a batcher.
   *
   * @param minIntervalMs minimum time between two commits
   */
  public ClaimBatcher(long minIntervalMs) {
    checkArgument(minIntervalMs >= 0, "negative interval: %s", minIntervalMs);
    this.minIntervalMs = minIntervalMs;
  }

  /**
   * Handles an event and returns the actions to perform.
   *
   * @param nowMs monotonic time
   */
  public List<BatchAction> handle(BatchEvent event, long nowMs) {
    List<BatchAction> actions = new ArrayList<>();
    switch (event) {
      case BatchEvent.WriteSubmitted(ClaimWrite write) -> waitingWrites.add(write);
      case BatchEvent.Committed(long batchId, List<Long> versions) ->
          reportCommitted(removeBatch(batchId), versions, actions);
      case BatchEvent.Conflicted(long batchId, Map<String, StoredClaim> current) ->
          reportConflictsAndRequeue(removeBatch(batchId), current, actions);
      case BatchEvent.OutcomeUnknown(long batchId) ->
          reportAll(removeBatch(batchId), new WriteResult.OutcomeUnknown(), actions);
      case BatchEvent.Unreachable(long batchId) ->
          reportAll(removeBatch(batchId), new WriteResult.Unreachable(), actions);
      case BatchEvent.TimerFired fired -> timerAtMs = Long.MIN_VALUE;
    }
    commitWaiting(nowMs, actions);
    return actions;
  }

  private List<ClaimWrite> removeBatch(long batchId) {
    List<ClaimWrite> batch = batchesInFlight.remove(batchId);
    return batch == null ? List.of() : batch;
  }

  private static void reportCommitted(
      List<ClaimWrite> batch, List<Long> versions, List<BatchAction> actions) {
    for (int i = 0; i < batch.size(); i++) {
      actions.add(
          new BatchAction.ReportResult(batch.get(i), new WriteResult.Written(versions.get(i))));
    }
  }

  /** Reports the writes whose condition failed and puts the others at the head of the queue. */
  private void reportConflictsAndRequeue(
      List<ClaimWrite> batch, Map<String, StoredClaim> current, List<BatchAction> actions) {
    List<ClaimWrite> retried = new ArrayList<>();
    for (ClaimWrite write : batch) {
      Optional<StoredClaim> found = Optional.ofNullable(current.get(write.key()));
      if (found.map(StoredClaim::version).orElse(0L) == write.expectedVersion()) {
        retried.add(write);
      } else {
        actions.add(new BatchAction.ReportResult(write, new WriteResult.Conflict(found)));
      }
    }
    waitingWrites.addAll(0, retried);
  }

  private static void reportAll(
      List<ClaimWrite> batch, WriteResult result, List<BatchAction> actions) {
    batch.forEach(write -> actions.add(new BatchAction.ReportResult(write, result)));
  }

  private void commitWaiting(long nowMs, List<BatchAction> actions) {
    if (waitingWrites.isEmpty() || batchesInFlight.size() >= MAX_TRANSACTIONS_IN_FLIGHT) {
      return;
    }
    if (nowMs < nextCommitAtMs) {
      if (timerAtMs < nextCommitAtMs) {
        timerAtMs = nextCommitAtMs;
        actions.add(new BatchAction.SetTimer(nextCommitAtMs));
      }
      return;
    }
    nextCommitAtMs = nowMs + minIntervalMs;
    List<ClaimWrite> batch = takeNextBatch();
    long batchId = nextBatchId++;
    batchesInFlight.put(batchId, batch);
    actions.add(new BatchAction.Commit(batchId, batch));
    commitWaiting(nowMs, actions);
  }

  /**
   * Removes waiting writes of distinct rows from the queue and returns them. The conditions of a
   * transaction are checked before its writes, so that two writes of one row would both pass.
   */
  private List<ClaimWrite> takeNextBatch() {
    List<ClaimWrite> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    Iterator<ClaimWrite> next = waitingWrites.iterator();
    while (next.hasNext()
        && batch.size() < MAX_WRITES_PER_TRANSACTION
        && bytes < MAX_BYTES_PER_TRANSACTION) {
      ClaimWrite write = next.next();
      if (keys.add(write.key())) {
        batch.add(write);
        bytes += write.estimatedBytes();
        next.remove();
      }
    }
    return batch;
  }
}
