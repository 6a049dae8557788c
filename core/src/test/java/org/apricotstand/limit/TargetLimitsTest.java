package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TargetLimitsTest {

  private static final String TARGET = "t1#1";
  private static final long WINDOW_MS = 4_000;
  private static final long DURATION_MS = 60_000;

  private final TargetLimits limits = new TargetLimits("n0");

  private static Set<String> names(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> "n" + i)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Returns the times of all requests that eager instances send, in order. */
  private static Deque<Long> sendEagerly(int instances, double perSecond) {
    List<TargetLimits> fleet =
        names(instances).stream().map(TargetLimits::new).collect(Collectors.toList());
    fleet.forEach(each -> each.setInstances(names(instances)));
    fleet.forEach(each -> each.recordLimit(TARGET, perSecond, 0));
    Random random = new Random(17);
    Deque<Long> sentMs = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < DURATION_MS; nowMs += 10) {
      Collections.shuffle(fleet, random);
      for (TargetLimits each : fleet) {
        each.recordLimit(TARGET, perSecond, nowMs);
        if (each.delayMs(TARGET, nowMs).equals(OptionalLong.of(0))) {
          sentMs.add(each.reserve(TARGET, nowMs));
        }
      }
    }
    return sentMs;
  }

  private static int maxInWindow(Deque<Long> sentMs) {
    Deque<Long> window = new ArrayDeque<>();
    int max = 0;
    for (long time : sentMs) {
      window.add(time);
      while (window.peekFirst() <= time - WINDOW_MS) {
        window.removeFirst();
      }
      max = Math.max(max, window.size());
    }
    return max;
  }

  // Guards against a limit that each instance keeps by itself, so that the target gets as many
  // times
  // more as there are instances.
  @Test
  void allInstancesTogetherKeepTheLimit() {
    for (int instances : new int[] {1, 2, 6, 95, 380}) {
      for (double perSecond : new double[] {0, 0.3, 1, 2.2, 8.4, 30, 400}) {
        double allowed = 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
        Deque<Long> sentMs = sendEagerly(instances, perSecond);
        assertWithMessage("%s instances, limit %s", instances, perSecond)
            .that((double) maxInWindow(sentMs))
            .isAtMost(allowed);
      }
    }
  }

  // Guards against shares so small that a target stays idle although requests wait.
  @Test
  void theLimitIsUsedWhenRequestsAbound() {
    for (int instances : new int[] {1, 2, 6, 95, 380}) {
      for (double perSecond : new double[] {0.3, 1, 2.2, 8.4, 30}) {
        double sentPerSecond = sendEagerly(instances, perSecond).size() * 1_000.0 / DURATION_MS;
        assertWithMessage("%s instances, limit %s", instances, perSecond)
            .that(sentPerSecond)
            .isAtLeast(0.8 * perSecond);
      }
    }
  }

  @Test
  void aTargetWithoutALimitIsFree() {
    assertThat(limits.delayMs(TARGET, 5).getAsLong()).isEqualTo(0);
    assertThat(limits.reserve(TARGET, 5)).isEqualTo(5);
    assertThat(limits.delayMs(TARGET, 5).getAsLong()).isEqualTo(0);
  }

  // Guards against requests that all wait for the same place.
  @Test
  void eachReservationTakesAPlace() {
    limits.recordLimit(TARGET, 2, 0);
    assertThat(limits.reserve(TARGET, 0)).isEqualTo(500);
    assertThat(limits.reserve(TARGET, 0)).isEqualTo(1_000);
    assertThat(limits.delayMs(TARGET, 0).getAsLong()).isEqualTo(1_500);
    limits.release(TARGET, 1_000);
    assertThat(limits.delayMs(TARGET, 0).getAsLong()).isEqualTo(1_000);
  }

  // Guards against a place that is given back while a later one is in use, and is then used twice.
  @Test
  void anEarlierPlaceIsNotGivenBack() {
    limits.recordLimit(TARGET, 2, 0);
    long firstMs = limits.reserve(TARGET, 0);
    limits.reserve(TARGET, 0);
    limits.release(TARGET, firstMs);
    assertThat(limits.delayMs(TARGET, 0).getAsLong()).isEqualTo(1_500);
  }

  // Guards against a limit that stays after the target has stopped naming it.
  @Test
  void endsWithAnAnswerThatNamesNoLimit() {
    limits.recordLimit(TARGET, 2, 1_000);
    assertThat(limits.recordNoLimit(TARGET, 900, 1_500)).isFalse();
    assertThat(limits.delayMs(TARGET, 1_500).getAsLong()).isEqualTo(0);
    limits.reserve(TARGET, 1_500);
    assertThat(limits.recordNoLimit(TARGET, 1_500, 1_600)).isTrue();
    assertThat(limits.delayMs(TARGET, 1_600).getAsLong()).isEqualTo(0);
    assertThat(limits.recordNoLimit(TARGET, 1_600, 1_700)).isFalse();
  }

  @Test
  void isForgottenWithoutAnswers() {
    limits.recordLimit(TARGET, 0.5, 0);
    limits.reserve(TARGET, 0);
    assertThat(limits.delayMs(TARGET, TargetLimits.LIMIT_LIFETIME_MS).getAsLong()).isEqualTo(0);
  }

  // Guards against a message to all instances with each answer.
  @Test
  void reportsALimitWhenItChangesAndNowAndThen() {
    assertThat(limits.recordLimit(TARGET, 2, 0)).isTrue();
    assertThat(limits.recordLimit(TARGET, 2, 100)).isFalse();
    assertThat(limits.recordLimit(TARGET, 3, 200)).isTrue();
    assertThat(limits.recordLimit(TARGET, 3, 200 + TargetLimits.REPORT_PERIOD_MS)).isTrue();
  }

  // Guards against a limit that the instances left after a failure do not use up.
  @Test
  void theLimitIsSharedAnewWhenInstancesChange() {
    limits.setInstances(names(4));
    limits.recordLimit(TARGET, 8, 0);
    limits.reserve(TARGET, 0);
    limits.setInstances(names(1));
    long firstMs = limits.reserve(TARGET, 10_000);
    assertThat(limits.reserve(TARGET, 10_000) - firstMs).isEqualTo(125);
  }
}
