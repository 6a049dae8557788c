package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetHealthTest {

  private final TargetHealth health = new TargetHealth();

  // Guards against a target that gets nothing long after its queue was full for a moment.
  @Test
  void aRejectionCountsForHalfASecond() {
    health.recordRejection("t", 1_000);
    assertThat(health.isRejecting("t", 1_499)).isTrue();
    assertThat(health.isRejecting("t", 1_500)).isFalse();
    assertThat(health.isRejecting("other", 1_000)).isFalse();
    assertThat(health.penaltyMs("t", 1_000)).isEqualTo(0.0);
  }

  // Guards against a retry in every half second for a target whose fault is to reject everything.
  @Test
  void rejectionsWithoutAnswersCountLonger() {
    health.recordRejection("t", 0);
    health.recordRejection("t", 100);
    assertThat(health.isRejecting("t", 500)).isFalse();
    health.recordRejection("t", 500);
    assertThat(health.isRejecting("t", 1_499)).isTrue();
    assertThat(health.isRejecting("t", 1_500)).isFalse();
    for (long nowMs = 10_000; nowMs < 200_000; nowMs += 10_000) {
      health.recordRejection("t", nowMs);
    }
    assertThat(health.isRejecting("t", 193_999)).isTrue();
    assertThat(health.isRejecting("t", 194_000)).isFalse();
  }

  // Guards against a busy target that answers and is taken for one that rejects everything.
  @Test
  void anAnswerEndsTheSeriesOfRejections() {
    health.recordRejection("t", 0);
    health.recordSuccess("t", 100);
    assertThat(health.isRejecting("t", 499)).isTrue();
    health.recordRejection("t", 500);
    assertThat(health.isRejecting("t", 1_000)).isFalse();
    health.recordSuccess("t", 1_100);
    health.recordRejection("t", 1_200);
    assertThat(health.isRejecting("t", 1_700)).isFalse();
  }

  // Guards against rejections of targets that are no longer listed, which would be kept forever.
  @Test
  void forgetsTargetsThatAreGone() {
    health.recordRejection("t", 0);
    health.retain(Set.of("other"));
    assertThat(health.isRejecting("t", 100)).isFalse();
  }
}
