package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class MetricsTest {

  // Guards against a metric that one of the two formats omits or scales wrongly.
  @Test
  void jsonAndPrometheusContainEachMetricKind() throws Exception {
    Metrics metrics = new Metrics();
    metrics.count("entry.answered");
    metrics.time("owner.dispatch", TimeUnit.MILLISECONDS.toNanos(4));
    metrics.gauge("peer.links", () -> 3);

    JsonNode json = new ObjectMapper().readTree(metrics.json());
    assertThat(json.path("entry.answered").asInt()).isEqualTo(1);
    assertThat(json.path("owner.dispatch").path("max_ms").asDouble()).isEqualTo(4.0);
    assertThat(json.path("peer.links").asDouble()).isEqualTo(3.0);
    String text = metrics.prometheus();
    assertThat(text).contains("entry_answered 1.0");
    assertThat(text).contains("owner_dispatch_count 1.0");
    assertThat(text).contains("peer_links 3.0");
  }

  // Guards against a service that registers its gauge again after a restart within the process.
  @Test
  void laterGaugeReplacesEarlier() {
    Metrics metrics = new Metrics();
    metrics.gauge("peer.links", () -> 3);
    metrics.gauge("peer.links", () -> 5);
    assertThat(metrics.json()).isEqualTo("{\"peer.links\":5.0}");
  }

  // Guards against names that cannot become Prometheus names by replacing the dots.
  @Test
  void rejectsNamesThatAreNotDotted() {
    assertThrows(IllegalArgumentException.class, () -> new Metrics().count("Entry answered"));
  }
}
