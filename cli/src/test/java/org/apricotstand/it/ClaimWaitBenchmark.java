package org.apricotstand.it;

import java.io.IOException;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apricotstand.claim.ClaimHash;

/**
 * Compares two ways in which a duplicate of a claimed request can wait for the answer: at the claim
 * holder, and by polling the claim row. Measures the delay between the first caller's answer and
 * the duplicate's, and the number of row reads. Not a test: run its {@code main} with the test
 * class path.
 */
public final class ClaimWaitBenchmark {

  private static final int ROUNDS = 30;
  private static final long SERVICE_DELAY_MS = 700;
  private static final double NANOS_PER_MS = 1_000_000.0;
  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      services:
        - {name: orders, path: /orders, repeatable: false, identityHeader: x-order-id}
      """;

  private ClaimWaitBenchmark() {}

  /** Runs all rounds and prints one line for each way of waiting. */
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
              "{\"slow_ms\":" + SERVICE_DELAY_MS + "}",
              Map.of());
      measure(cluster, "wait at the holder", 0);
      measure(cluster, "poll every 500 ms", 500);
      measure(cluster, "poll every 50 ms", 50);
    }
    System.exit(0);
  }

  private static void measure(ProcessCluster cluster, String method, long pollIntervalMs) {
    double[] delaysMs = new double[ROUNDS];
    int[] rowReads = new int[1];
    for (int round = 0; round < ROUNDS; round++) {
      String identity = method + round;
      long[] firstAnswerNanos = new long[1];
      CompletableFuture<Void> first =
          CompletableFuture.runAsync(
              () -> {
                sendOrder(cluster, "entry-1", identity);
                firstAnswerNanos[0] = System.nanoTime();
              });
      // Duplicates arrive at different times during the run.
      sleep(100 + 17L * round % 400);
      if (pollIntervalMs == 0) {
        sendOrder(cluster, "entry-2", identity);
      } else {
        pollUntilAnswered(cluster, identity, pollIntervalMs, rowReads);
      }
      long duplicateAnswerNanos = System.nanoTime();
      first.join();
      delaysMs[round] = Math.max(0, (duplicateAnswerNanos - firstAnswerNanos[0]) / NANOS_PER_MS);
    }
    Arrays.sort(delaysMs);
    System.out.printf(
        Locale.ROOT,
        "%s: delay after the first caller's answer p50 %.1f ms, p95 %.1f ms; %.1f row reads%n",
        method,
        delaysMs[ROUNDS / 2],
        delaysMs[ROUNDS * 95 / 100],
        (double) rowReads[0] / ROUNDS);
  }

  private static void pollUntilAnswered(
      ProcessCluster cluster, String identity, long pollIntervalMs, int[] rowReads) {
    String path = "/tables/claims/rows/" + ClaimHash.key("orders", identity);
    while (true) {
      rowReads[0]++;
      String row = cluster.caller().get(cluster.directAddress("platform"), path).body();
      if (row.contains("ANSWERED")) {
        return;
      }
      sleep(pollIntervalMs);
    }
  }

  private static void sendOrder(ProcessCluster cluster, String entry, String identity) {
    Map<String, String> headers = Map.of("x-order-id", identity);
    Answer answer = cluster.caller().post(cluster.callerAddress(entry), "/orders", "{}", headers);
    if (answer.status() != 200) {
      throw new IllegalStateException(answer.toString());
    }
  }

  private static void sleep(long durationMs) {
    try {
      TimeUnit.MILLISECONDS.sleep(durationMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
