package org.apricotstand.it;

import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.claim.ClaimHash;

/**
 * Compares waiting for a claim's answer at its holder with polling the claim row, as seen by a
 * repeat: how long after the first caller's answer it gets its own, and how many reads it costs.
 * Run its {@code main} with the test class path; it asserts nothing.
 */
public final class ClaimWaitBenchmark {

  private static final int ROUNDS = 30;
  private static final long RUN_MS = 700;
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      services:
        - {name: orders, path: /orders, repeatable: false, identityHeader: x-order-id}
      """;

  private ClaimWaitBenchmark() {}

  /** Runs the rounds and prints one line for each way. */
  public static void main(String[] args) throws IOException {
    try (ProcessCluster cluster = new ProcessCluster()) {
      cluster.startPlatform();
      cluster.startService("orders-1", "orders", "a", "--identity", "x-order-id");
      cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
      cluster.apply(DECLARATIONS);
      cluster
          .caller()
          .post(
              cluster.directAddress("orders-1"),
              "/faults",
              "{\"slow_ms\":" + RUN_MS + "}",
              Map.of());
      measure(cluster, "wait at the holder", 0);
      measure(cluster, "poll every 500 ms", 500);
      measure(cluster, "poll every 50 ms", 50);
    }
    System.exit(0);
  }

  private static void measure(ProcessCluster cluster, String way, long pollMs) {
    double[] lateMs = new double[ROUNDS];
    int[] reads = new int[1];
    for (int round = 0; round < ROUNDS; round++) {
      String identity = way + round;
      long[] firstNanos = new long[1];
      CompletableFuture<Void> first =
          CompletableFuture.runAsync(
              () -> {
                order(cluster, "entry-1", identity);
                firstNanos[0] = System.nanoTime();
              });
      // Repeats arrive at different moments of the run.
      sleep(100 + 17L * round % 400);
      if (pollMs == 0) {
        order(cluster, "entry-2", identity);
      } else {
        poll(cluster, identity, pollMs, reads);
      }
      long repeatNanos = System.nanoTime();
      first.join();
      lateMs[round] = Math.max(0, (repeatNanos - firstNanos[0]) / NANOS_PER_MS);
    }
    Arrays.sort(lateMs);
    System.out.printf(
        Locale.ROOT,
        "%s: answer after the first caller's p50 %.1f ms, p95 %.1f ms; %.1f row reads%n",
        way,
        lateMs[ROUNDS / 2],
        lateMs[ROUNDS * 95 / 100],
        (double) reads[0] / ROUNDS);
  }

  private static void poll(ProcessCluster cluster, String identity, long pollMs, int[] reads) {
    String path = "/tables/claims/rows/" + ClaimHash.key("orders", identity);
    while (true) {
      reads[0]++;
      String row = cluster.caller().get(cluster.directAddress("platform"), path).body();
      if (row.contains("ANSWERED")) {
        return;
      }
      sleep(pollMs);
    }
  }

  private static void order(ProcessCluster cluster, String entry, String identity) {
    Map<String, String> headers = Map.of("x-order-id", identity);
    Answer answer = cluster.caller().post(cluster.callerAddress(entry), "/orders", "{}", headers);
    if (answer.status() != 200) {
      throw new IllegalStateException(answer.toString());
    }
  }

  private static void sleep(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
