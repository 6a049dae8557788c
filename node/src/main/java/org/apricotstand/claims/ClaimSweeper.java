package org.apricotstand.claims;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.apricotstand.claim.BatchEvent;
import org.apricotstand.claim.ClaimRetention;
import org.apricotstand.claim.ClaimWrite;
import org.apricotstand.claim.StoredClaim;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;

/**
 * Removes expired claim rows. Each instance scans one bucket of the table at a time, so that
 * neither reads nor removals are large.
 */
final class ClaimSweeper {

  private static final EventLog LOG = EventLog.of(ClaimSweeper.class);

  /** Mean time between scans; seven instances scan the whole table in about 100 minutes. */
  private static final long SWEEP_PERIOD_MS = 10_000;

  private static final long UNUSED_BATCH_ID = 1;

  private final ControlThread control;
  private final ClaimTable table;
  private final Metrics metrics;
  private final RandomGenerator random;
  private int bucket;

  ClaimSweeper(ControlThread control, ClaimTable table, Metrics metrics, RandomGenerator random) {
    this.control = control;
    this.table = table;
    this.metrics = metrics;
    this.random = random;
    this.bucket = random.nextInt(ClaimRetention.BUCKETS);
  }

  void start() {
    control.executeAt(
        ControlThread.nowMs() + random.nextLong(SWEEP_PERIOD_MS), this::sweepNextBucket);
  }

  private void sweepNextBucket() {
    bucket = (bucket + 1) % ClaimRetention.BUCKETS;
    sweep(bucket);
    // Jitter keeps instances that started together from scanning at the same time.
    long pauseMs = SWEEP_PERIOD_MS / 2 + random.nextLong(SWEEP_PERIOD_MS);
    control.executeAt(ControlThread.nowMs() + pauseMs, this::sweepNextBucket);
  }

  /** Removes the expired rows of a bucket. The future ends when the store has answered. */
  CompletableFuture<Void> sweep(int sweptBucket) {
    return table
        .scan(ClaimRetention.keyPrefix(sweptBucket))
        .thenComposeAsync(this::remove, control)
        .exceptionally(
            error -> {
              LOG.warn("claims_not_swept", "bucket", sweptBucket, "error", error.toString());
              return null;
            });
  }

  private CompletableFuture<Void> remove(Result<Map<String, StoredClaim>> scanned) {
    return switch (scanned) {
      case Result.Ok<Map<String, StoredClaim>>(Map<String, StoredClaim> rows) ->
          remove(ClaimRetention.removals(rows.entrySet(), System.currentTimeMillis()));
      case Result.Failed<Map<String, StoredClaim>>(Failure failure) -> {
        LOG.info("claims_not_swept", "error", failure);
        yield CompletableFuture.completedFuture(null);
      }
    };
  }

  private CompletableFuture<Void> remove(List<ClaimWrite> removals) {
    if (removals.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    return table
        .commit(UNUSED_BATCH_ID, removals)
        .thenAcceptAsync(result -> onRemoved(result, removals.size()), control);
  }

  /**
   * Counts removed rows. Nothing else follows: a conflict means that another instance removes the
   * same rows, and rows that remain are removed by a later scan.
   */
  private void onRemoved(BatchEvent result, int rows) {
    if (result instanceof BatchEvent.Committed) {
      metrics.counter("claims.removed").inc(rows);
    }
  }
}
