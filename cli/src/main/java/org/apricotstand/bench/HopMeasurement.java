package org.apricotstand.bench;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;

/**
 * Measures the latency that is added when an entry instance forwards a request to the owner on
 * another instance. Two instances in two failure domains share one engine; only the instance in the
 * domain of the engine can own it.
 */
final class HopMeasurement {

  private static final int WARM_UP_CALLS = 300;
  private static final int MEASURED_CALLS = 500;
  private static final long TIMEOUT_MS = 30_000;
  private static final int OWNER_ENTRY = 0;
  private static final int PEER_ENTRY = 1;
  private static final double NANOS_PER_MS = 1_000_000;
  private static final long MAX_NANOS = 60_000_000_000L;

  private HopMeasurement() {}

  /** Times of a complete one-token answer in milliseconds, through the owner and through a peer. */
  record Hop(
      double ownerP50Ms, double ownerP95Ms, double peerP50Ms, double peerP95Ms, int samples) {
    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "peer hop: p50 %.3f ms against %.3f ms at the owner itself (+%.3f ms), p95 %.3f ms"
              + " against %.3f ms, %d samples each",
          peerP50Ms,
          ownerP50Ms,
          peerP50Ms - ownerP50Ms,
          peerP95Ms,
          ownerP95Ms,
          samples);
    }
  }

  static Hop measure(
      Scenario scenario, EventLoopGroup group, HttpClient http, DeclarationWriter writer)
      throws IOException, InterruptedException {
    Scenario hopScenario =
        new Scenario(
            "hop",
            List.of("owner", "other"),
            2,
            1,
            1,
            scenario.maxBatch(),
            1,
            0,
            1,
            scenario.store(),
            1,
            TIMEOUT_MS,
            scenario.arrivals(),
            scenario.classes(),
            scenario.orders());
    try (Fleet fleet =
        new Fleet(hopScenario, Experiment.POLICIES.getFirst(), group, http, writer)) {
      List<InetSocketAddress> entries = fleet.callerAddresses();
      Histogram ownerTimes = new Histogram(MAX_NANOS, 3);
      Histogram peerTimes = new Histogram(MAX_NANOS, 3);
      for (int i = 0; i < WARM_UP_CALLS + MEASURED_CALLS; i++) {
        boolean measured = i >= WARM_UP_CALLS;
        long ownerNanos = measureCallNanos(http, entries.get(OWNER_ENTRY), measured);
        long peerNanos = measureCallNanos(http, entries.get(PEER_ENTRY), measured);
        if (measured) {
          ownerTimes.recordValue(Math.min(MAX_NANOS, ownerNanos));
          peerTimes.recordValue(Math.min(MAX_NANOS, peerNanos));
        }
      }
      return new Hop(
          percentileMs(ownerTimes, 50),
          percentileMs(ownerTimes, 95),
          percentileMs(peerTimes, 50),
          percentileMs(peerTimes, 95),
          MEASURED_CALLS);
    }
  }

  private static double percentileMs(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  private static long measureCallNanos(HttpClient http, InetSocketAddress entry, boolean measured)
      throws IOException {
    byte[] body =
        "{\"model\":\"adapter-0\",\"prompt\":\"x\",\"max_tokens\":1}"
            .getBytes(StandardCharsets.UTF_8);
    String url = "http://127.0.0.1:" + entry.getPort() + "/v1/completions";
    long startNanos = System.nanoTime();
    HttpReply reply =
        http.send(HttpCall.json("POST", url, body, ControlThread.nowMs() + TIMEOUT_MS)).join();
    if (measured && !reply.isSuccess()) {
      throw new IOException("the hop cannot be measured: " + reply.text());
    }
    return System.nanoTime() - startNanos;
  }
}
