package org.apricotstand.observe;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ThreadDelayTest {

  private final Metrics metrics = new Metrics();
  private final ThreadDelay delay = new ThreadDelay("traffic", 500, metrics);

  // Guards against a first run that counts as late, and against a delay that a later run hides.
  @Test
  void keepsTheLongestDelay() {
    delay.record(10_000);
    assertThat(metrics.json()).contains("\"traffic.max_delay_ms\":0.0");
    delay.record(10_500);
    delay.record(12_300);
    delay.record(12_801);
    assertThat(metrics.json()).contains("\"traffic.max_delay_ms\":1300.0");
  }
}
