package org.apricotstand.claims;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.apricotstand.claim.ClaimRetention;
import org.apricotstand.claim.ClaimWrite;
import org.apricotstand.claim.StoredClaim;
import org.apricotstand.control.ControlThread;
import org.apricotstand.model.Result;
import org.apricotstand.observe.Metrics;

/**
 * Removes expired claim rows. Each instance scans one bucket of the table at a time, so that
 * neither reads nor removals are large.
 */
final class ClaimSweeper {

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
    control.executeAt(ControlThread.nowMs() + random.nextLong(SWEEP_PERIOD_MS), this::sweep);
  }

  private void sweep() {
    bucket = (bucket + 1) % ClaimRetention.BUCKETS;
    table
        .scan(ClaimRetention.keyPrefix(bucket))
        .thenAccept(result -> control.execute(() -> remove(result)));
    // Jitter keeps instances that started together from scanning at the same time.
    long pauseMs = SWEEP_PERIOD_MS / 2 + random.nextLong(SWEEP_PERIOD_MS);
    control.executeAt(ControlThread.nowMs() + pauseMs, this::sweep);
  }

  private void remove(Result<Map<String, StoredClaim>> result) {
    if (result instanceof Result.Ok<Map<String, StoredClaim>>(Map<String, StoredClaim> rows)) {
      List<ClaimWrite> removals =
          ClaimRetention.removals(rows.entrySet(), System.currentTimeMillis());
      if (!removals.isEmpty()) {
        // The result is ignored. A conflict means that another instance removes the same rows; rows
        // that remain are removed by a later scan.
        table.commit(UNUSED_BATCH_ID, removals);
        metrics.counter("claims.removed").inc(removals.size());
      }
    }
  }
}
