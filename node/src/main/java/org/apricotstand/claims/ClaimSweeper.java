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
 * Removes claim rows past their time. Each instance looks through one small part of the table at a
 * time, so that neither a read nor a removal is large.
 */
final class ClaimSweeper {

  /** Part of the table every 10 s: seven instances pass the whole table in about 100 minutes. */
  private static final long PERIOD_MS = 10_000;

  private static final long FIRST_BATCH_ID = 1;

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
    control.executeAt(ControlThread.nowMs() + random.nextLong(PERIOD_MS), this::sweep);
  }

  private void sweep() {
    bucket = (bucket + 1) % ClaimRetention.BUCKETS;
    table
        .scan(ClaimRetention.prefix(bucket))
        .thenAccept(result -> control.execute(() -> remove(result)));
    // Jitter keeps instances that started together from reading together.
    long pauseMs = PERIOD_MS / 2 + random.nextLong(PERIOD_MS);
    control.executeAt(ControlThread.nowMs() + pauseMs, this::sweep);
  }

  private void remove(Result<Map<String, StoredClaim>> result) {
    if (result instanceof Result.Ok<Map<String, StoredClaim>>(Map<String, StoredClaim> rows)) {
      List<ClaimWrite> removals =
          ClaimRetention.removals(rows.entrySet(), System.currentTimeMillis());
      if (!removals.isEmpty()) {
        // A conflict means that another instance removes the same rows; the next pass sees.
        table.commit(FIRST_BATCH_ID, removals);
        metrics.counter("claims.removed").inc(removals.size());
      }
    }
  }
}
