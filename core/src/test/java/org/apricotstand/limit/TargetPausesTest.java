package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetPausesTest {

  private static final long NOW_MS = 5_000;

  private final TargetPauses pauses = new TargetPauses();

  // Guards against requests to a target that has asked to be left alone for a time, and against
  // leaving it alone for longer.
  @Test
  void aPausedTargetGetsRequestsAgainAfterItsTime() {
    assertThat(pauses.pause("t", NOW_MS + 700, NOW_MS)).isTrue();
    assertThat(pauses.isPaused("t", NOW_MS + 699)).isTrue();
    assertThat(pauses.delayMs("t", NOW_MS + 100)).isEqualTo(OptionalLong.of(600));
    assertThat(pauses.isPaused("t", NOW_MS + 700)).isFalse();
    assertThat(pauses.delayMs("t", NOW_MS + 700)).isEqualTo(OptionalLong.of(0));
    assertThat(pauses.delayMs("other", NOW_MS)).isEqualTo(OptionalLong.of(0));
  }

  // Guards against a shorter pause that ends a longer one, since answers can overtake each other.
  @Test
  void theLongestPauseHolds() {
    pauses.pause("t", NOW_MS + 700, NOW_MS);
    assertThat(pauses.pause("t", NOW_MS + 300, NOW_MS)).isFalse();
    assertThat(pauses.delayMs("t", NOW_MS)).isEqualTo(OptionalLong.of(700));
    assertThat(pauses.pause("t", NOW_MS + 900, NOW_MS)).isTrue();
  }

  // Guards against a target that is hit by all waiting requests at the end of its pause.
  @Test
  void requestsAfterAPauseAreSpaced() {
    pauses.pause("t", NOW_MS + 700, NOW_MS);
    assertThat(pauses.reserve("t", NOW_MS)).isEqualTo(NOW_MS + 700);
    assertThat(pauses.reserve("t", NOW_MS))
        .isEqualTo(NOW_MS + 700 + TargetPauses.RETURN_SPACING_MS);
    assertThat(pauses.delayMs("t", NOW_MS + 700)).isEqualTo(OptionalLong.of(50));
    long laterMs = NOW_MS + 700 + TargetPauses.RETURN_SPREAD_MS;
    assertThat(pauses.reserve("t", laterMs)).isEqualTo(laterMs);
    assertThat(pauses.reserve("t", laterMs)).isEqualTo(laterMs);
  }

  // Guards against requests to a target that has said that it leaves, also if it names a time.
  @Test
  void aLeavingTargetGetsNoRequest() {
    assertThat(pauses.leave("t", NOW_MS)).isTrue();
    assertThat(pauses.leave("t", NOW_MS)).isFalse();
    pauses.pause("t", NOW_MS + 10, NOW_MS);
    assertThat(pauses.delayMs("t", NOW_MS + 1_000_000)).isEqualTo(OptionalLong.empty());
    assertThat(pauses.isPaused("t", NOW_MS + 1_000_000)).isTrue();
  }

  // Guards against times of a mistaken target: in the past, or years ahead.
  @Test
  void timesThatMakeNoSenseAreBounded() {
    assertThat(pauses.pause("t", NOW_MS - 1, NOW_MS)).isFalse();
    assertThat(pauses.isEmpty()).isTrue();
    pauses.pause("t", Long.MAX_VALUE - 1, NOW_MS);
    assertThat(pauses.delayMs("t", NOW_MS)).isEqualTo(OptionalLong.of(TargetPauses.MAX_PAUSE_MS));
  }

  // Guards against a pause that ends because the entry of its target is missing for a while: the
  // target gets requests within the time in which it asked for none.
  @Test
  void aPauseHoldsWhileTheTargetIsGone() {
    pauses.pause("t#1", NOW_MS + 25_000, NOW_MS);
    pauses.leave("u#1", NOW_MS);
    pauses.retain(Set.of(), NOW_MS + 10_000);
    assertThat(pauses.isPaused("t#1", NOW_MS + 24_999)).isTrue();
    assertThat(pauses.isPaused("u#1", NOW_MS + 60_000)).isTrue();
  }

  // Guards against memory that grows with each target that was ever paused or has left.
  @Test
  void pausesThatAreOverAndTargetsThatAreGoneAreForgotten() {
    pauses.leave("t#1", NOW_MS);
    pauses.pause("u#1", NOW_MS + 10, NOW_MS);
    pauses.retain(Set.of("t#1"), NOW_MS + 10 + TargetPauses.RETURN_SPREAD_MS);
    assertThat(pauses.delayMs("u#1", NOW_MS + 10)).isEqualTo(OptionalLong.of(0));
    long goneMs = NOW_MS + 1_000_000;
    pauses.retain(Set.of("t#1"), goneMs);
    pauses.retain(Set.of(), goneMs + TargetPauses.LEAVING_LIFETIME_MS - 1);
    assertThat(pauses.delayMs("t#1", goneMs)).isEqualTo(OptionalLong.empty());
    pauses.retain(Set.of(), goneMs + TargetPauses.LEAVING_LIFETIME_MS);
    assertThat(pauses.isEmpty()).isTrue();
  }
}
