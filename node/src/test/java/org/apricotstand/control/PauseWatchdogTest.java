package org.apricotstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PauseWatchdogTest {

  private final List<Long> pauses = new ArrayList<>();
  private long monotonicMs = -5_000;
  private long wallMs = 1_000_000;

  /**
   * Guards against an owner that sends commands after a pause before it has given up its leases.
   */
  @Test
  void reportsAGapOfEitherClockOnce() {
    PauseWatchdog watchdog = new PauseWatchdog(() -> monotonicMs, () -> wallMs);
    watchdog.check();
    watchdog.watch(pauses::add);
    advanceClocksAndCheck(1_000, 1_000, watchdog);
    assertThat(pauses).isEmpty();
    advanceClocksAndCheck(30_000, 30_000, watchdog);
    assertThat(pauses).containsExactly(30_000L);
    advanceClocksAndCheck(100, 100, watchdog);
    // A suspended virtual machine may stop the monotonic clock.
    advanceClocksAndCheck(10, 60_000, watchdog);
    assertThat(pauses).containsExactly(30_000L, 60_000L).inOrder();
  }

  private void advanceClocksAndCheck(long monotonicGapMs, long wallGapMs, PauseWatchdog watchdog) {
    monotonicMs += monotonicGapMs;
    wallMs += wallGapMs;
    watchdog.check();
  }
}
