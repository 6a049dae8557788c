package org.apricotstand.hedge;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class HedgeDelaysTest {

  private final HedgeDelays delays = new HedgeDelays(0.05);

  private void record(String target, int count, long timeMs) {
    IntStream.range(0, count).forEach(i -> delays.recordFirstByte("r", target, timeMs));
  }

  // Guards against hedges by a delay that a few answers after the start have set.
  @Test
  void noDelayWithoutEnoughSamples() {
    assertThat(delays.delayMs("r", "t1").isPresent()).isFalse();
    record("t1", HedgeDelays.MIN_SAMPLES, 100);
    assertThat(delays.delayMs("r", "t1").isPresent()).isFalse();
    record("t1", HedgeDelays.MIN_SAMPLES, 100);
    assertThat(delays.delayMs("r", "t1").isPresent()).isTrue();
  }

  // Guards against a delay that long answers of one route set for the short ones of another.
  @Test
  void eachRouteHasItsOwnDelay() {
    record("t1", 200, 100);
    assertThat(delays.delayMs("other", "t1").isPresent()).isFalse();
  }

  // Guards against a target that is always slower than others and gets a hedge for each request.
  @Test
  void aSlowerTargetHasALongerDelay() {
    for (int i = 0; i < 400; i++) {
      delays.recordFirstByte("r", "usual", 100);
      delays.recordFirstByte("r", "slower", 160);
    }
    long usualMs = delays.delayMs("r", "usual").orElseThrow();
    long slowerMs = delays.delayMs("r", "slower").orElseThrow();
    assertThat(usualMs).isAtLeast(100);
    assertThat(usualMs).isAtMost(110);
    assertThat(slowerMs).isAtLeast(160);
    assertThat(slowerMs).isAtMost(176);
  }

  // Guards against a target without answers, or without known times, that is never hedged.
  @Test
  void aTargetWithoutAnswersHasTheDelayOfTheRoute() {
    record("t1", 200, 100);
    assertThat(delays.delayMs("r", "silent")).isEqualTo(delays.delayMs("r", "t1"));
  }

  // Guards against a target that is so slow that its slowness counts as usual.
  @Test
  void theUsualTimeOfATargetIsBounded() {
    for (int i = 0; i < 200; i++) {
      record("t1", 20, 100);
      record("slow", 1, 1_000);
    }
    long routeDelayMs = delays.delayMs("r", "t1").orElseThrow();
    assertThat(delays.delayMs("r", "slow").orElseThrow()).isAtMost((long) (2.5 * routeDelayMs));
  }

  // Guards against hedges for most requests once all targets have become slow for good.
  @Test
  void theDelayFollowsWhenAllTargetsBecomeSlow() {
    record("t1", 300, 100);
    record("t1", 300, 250);
    assertThat(delays.delayMs("r", "t1").orElseThrow()).isAtLeast(250);
  }

  // Guards against a delay that falls with each hedge that wins, because only fast answers count.
  @Test
  void overdueAttemptsKeepTheDelayUp() {
    for (int i = 0; i < 300; i++) {
      record("t1", 9, 100);
      delays.recordOverdue("r", "t1", 200);
    }
    assertThat(delays.delayMs("r", "t1").orElseThrow()).isAtLeast(200);
  }

  // Guards against times of one millisecond or less, which have no ratio to zero.
  @Test
  void answersWithoutMeasurableTimeHaveADelay() {
    record("t1", 200, 0);
    assertThat(delays.delayMs("r", "t1").isPresent()).isTrue();
  }

  // Guards against memory that grows with each target that has ever existed.
  @Test
  void removesRoutesAndTargetsThatNoLongerExist() {
    record("t1", 200, 100);
    delays.retain(List.of("r"), List.of());
    assertThat(delays.delayMs("r", "t1").isPresent()).isTrue();
    delays.retain(List.of(), List.of());
    assertThat(delays.delayMs("r", "t1").isPresent()).isFalse();
  }
}
