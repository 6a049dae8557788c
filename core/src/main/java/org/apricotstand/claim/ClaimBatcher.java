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
 * Groups the writes of claims into transactions. The first write after a pause goes at once; those
 * that follow within the pause share a transaction. When a condition fails, its write ends alone
 * and the others are committed again.
 *
 * <pre>{@code
 * List<BatchAction> actions = batcher.handle(new BatchEvent.Submitted(write), nowMs);
 * }</pre>
 */
public final class ClaimBatcher {

  /** Writes in one transaction. */
  static final int MAX_WRITES = 64;

  /** Bytes in one transaction; the stores take bodies of a few megabytes. */
  static final int MAX_BYTES = 1024 * 1024;

  /** Transactions under way, so that one that hangs does not hold up all others. */
  static final int MAX_IN_FLIGHT = 4;

  private final long pauseMs;
  private final List<ClaimWrite> waiting = new LinkedList<>();
  private final Map<Long, List<ClaimWrite>> inFlight = new HashMap<>();
  private long nextBatchId = 1;
  private long nextCommitMs = Long.MIN_VALUE;
  private long wakeAtMs = Long.MIN_VALUE;

  /**
   * Creates a batcher.
   *
   * @param pauseMs least time between two transactions
   */
  public ClaimBatcher(long pauseMs) {
    checkArgument(pauseMs >= 0, "negative pause: %s", pauseMs);
    this.pauseMs = pauseMs;
  }

  /**
   * Applies an event and returns what has to be done for it.
   *
   * @param nowMs monotonic time
   */
  public List<BatchAction> handle(BatchEvent event, long nowMs) {
    List<BatchAction> actions = new ArrayList<>();
    switch (event) {
      case BatchEvent.Submitted(ClaimWrite write) -> waiting.add(write);
      case BatchEvent.Committed(long batchId, List<Long> versions) ->
          committed(take(batchId), versions, actions);
      case BatchEvent.Conflicted(long batchId, Map<String, StoredClaim> current) ->
          split(take(batchId), current, actions);
      case BatchEvent.Lost(long batchId) -> endAll(take(batchId), new WriteResult.Lost(), actions);
      case BatchEvent.Unreachable(long batchId) ->
          endAll(take(batchId), new WriteResult.Unreachable(), actions);
      case BatchEvent.Woken woken -> wakeAtMs = Long.MIN_VALUE;
    }
    commitWaiting(nowMs, actions);
    return actions;
  }

  private List<ClaimWrite> take(long batchId) {
    List<ClaimWrite> batch = inFlight.remove(batchId);
    return batch == null ? List.of() : batch;
  }

  private static void committed(
      List<ClaimWrite> batch, List<Long> versions, List<BatchAction> actions) {
    for (int i = 0; i < batch.size(); i++) {
      actions.add(new BatchAction.Ended(batch.get(i), new WriteResult.Written(versions.get(i))));
    }
  }

  /** Ends the writes whose condition fails and puts the others first in the queue. */
  private void split(
      List<ClaimWrite> batch, Map<String, StoredClaim> current, List<BatchAction> actions) {
    List<ClaimWrite> again = new ArrayList<>();
    for (ClaimWrite write : batch) {
      Optional<StoredClaim> found = Optional.ofNullable(current.get(write.key()));
      if (found.map(StoredClaim::version).orElse(0L) == write.expectedVersion()) {
        again.add(write);
      } else {
        actions.add(new BatchAction.Ended(write, new WriteResult.Conflict(found)));
      }
    }
    waiting.addAll(0, again);
  }

  private static void endAll(
      List<ClaimWrite> batch, WriteResult result, List<BatchAction> actions) {
    batch.forEach(write -> actions.add(new BatchAction.Ended(write, result)));
  }

  private void commitWaiting(long nowMs, List<BatchAction> actions) {
    if (waiting.isEmpty() || inFlight.size() >= MAX_IN_FLIGHT) {
      return;
    }
    if (nowMs < nextCommitMs) {
      if (wakeAtMs < nextCommitMs) {
        wakeAtMs = nextCommitMs;
        actions.add(new BatchAction.WakeAt(nextCommitMs));
      }
      return;
    }
    nextCommitMs = nowMs + pauseMs;
    List<ClaimWrite> batch = nextBatch();
    long batchId = nextBatchId++;
    inFlight.put(batchId, batch);
    actions.add(new BatchAction.Commit(batchId, batch));
    commitWaiting(nowMs, actions);
  }

  /** Takes writes of distinct rows; a second write of a row would pass the first's condition. */
  private List<ClaimWrite> nextBatch() {
    List<ClaimWrite> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    Iterator<ClaimWrite> next = waiting.iterator();
    while (next.hasNext() && batch.size() < MAX_WRITES && bytes < MAX_BYTES) {
      ClaimWrite write = next.next();
      if (keys.add(write.key())) {
        batch.add(write);
        bytes += write.weightBytes();
        next.remove();
      }
    }
    return batch;
  }
}
