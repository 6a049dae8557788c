package org.apricotstand.memory;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.observe.Metrics;
import org.junit.jupiter.api.Test;

class RejectionLogTest {

  private final Metrics metrics = new Metrics();
  private final RejectionLog log = new RejectionLog(metrics);

  // Guards against an instance that spends its time on log lines while it rejects thousands of
  // callers, and against rejections that no line and no metric reports.
  @Test
  void manyRejectionsGetOneLineEachSecond() {
    assertThat(log.record("body", 5_000)).isTrue();
    for (int i = 0; i < 999; i++) {
      assertThat(log.record("head", 5_001 + i)).isFalse();
    }
    assertThat(log.flush(6_000)).isTrue();
    assertThat(log.flush(8_000)).isFalse();
    assertThat(metrics.counter("memory.rejected.head").getCount()).isEqualTo(999);
    assertThat(metrics.counter("memory.rejected.body").getCount()).isEqualTo(1);
  }
}
