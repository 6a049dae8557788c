package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TargetSpeedsTest {

  private static final long PERIOD_MS = 500;

  private final TargetSpeeds speeds = new TargetSpeeds();
  private long nowMs;

  private static TargetEntry target(String id, String service) {
    return new TargetEntry(id, service, "10.0.0.1", 80, "d", 6, false, 0, Map.of());
  }

  @BeforeEach
  void setTargets() {
    speeds.setTargets(List.of(target("t1", "s"), target("t2", "s"), target("u1", "other")));
  }

  private void record(String id, long count, long totalMs) {
    speeds.record(Map.of(id, new AnswerTimes(count, totalMs)), nowMs);
  }

  /** Records answers of 30 ms of both targets for some time. */
  private void runUsually() {
    for (int i = 0; i < 40; i++) {
      nowMs += PERIOD_MS;
      record("t1", 10, 300);
      record("t2", 10, 300);
    }
  }

  // Guards against a slow spell that ends before it is noticed.
  @Test
  void aSlowSpellIsNoticedAfterAFewAnswers() {
    runUsually();
    nowMs += PERIOD_MS;
    record("t1", 8, 8 * 75);
    assertThat(speeds.slowness("t1", nowMs)).isGreaterThan(1.6);
    record("t1", 8, 8 * 75);
    assertThat(speeds.slowness("t1", nowMs)).isGreaterThan(2.0);
    assertThat(speeds.slowness("t2", nowMs)).isWithin(0.05).of(1);
  }

  // Guards against a target that stays slow for the others after its slow spell.
  @Test
  void theEndOfASlowSpellIsNoticedAfterAFewAnswers() {
    runUsually();
    record("t1", 30, 30 * 75);
    nowMs += PERIOD_MS;
    record("t1", 8, 8 * 30);
    assertThat(speeds.slowness("t1", nowMs)).isLessThan(1.5);
  }

  // Guards against a target that gets few requests because it was slow, and therefore never gives
  // the news that it is fast again.
  @Test
  void withoutNewsTheEstimateReturnsToTheUsualSpeed() {
    runUsually();
    record("t1", 30, 30 * 75);
    record("t2", 30, 30 * 10);
    assertThat(speeds.slowness(nowMs).keySet()).containsExactly("t1", "t2");
    nowMs += 10_000;
    assertThat(speeds.slowness("t1", nowMs)).isWithin(0.05).of(1);
    assertThat(speeds.slowness("t2", nowMs)).isWithin(0.05).of(1);
    assertThat(speeds.slowness(nowMs)).isEmpty();
  }

  // Guards against requests that move because of noise: times differ by half among themselves.
  @Test
  void noiseChangesLittle() {
    Random random = new Random(3);
    double sumOfSquares = 0;
    int rounds = 400;
    for (int i = 0; i < rounds; i++) {
      nowMs += PERIOD_MS;
      long totalMs = 0;
      for (int answer = 0; answer < 10; answer++) {
        totalMs += Math.round(100 * Math.exp(0.5 * random.nextGaussian()));
      }
      record("t1", 10, totalMs);
      record("t2", 10, 1_133);
      sumOfSquares += Math.pow(speeds.slowness("t1", nowMs) - 1, 2);
    }
    assertThat(Math.sqrt(sumOfSquares / rounds)).isLessThan(0.15);
  }

  // Guards against one answer of a minute that takes a target out of use.
  @Test
  void aSingleAnswerChangesLittle() {
    runUsually();
    record("t1", 1, 60_000);
    assertThat(speeds.slowness("t1", nowMs)).isLessThan(1.4);
  }

  // Guards against services that are compared with each other.
  @Test
  void eachServiceHasItsOwnUsualTime() {
    runUsually();
    record("u1", 10, 50_000);
    assertThat(speeds.slowness("u1", nowMs)).isEqualTo(1.0);
  }

  // Guards against a service whose targets are all slow and count as such for ever.
  @Test
  void theUsualTimeFollowsTheService() {
    runUsually();
    for (int i = 0; i < 400; i++) {
      nowMs += PERIOD_MS;
      record("t1", 10, 900);
      record("t2", 10, 900);
    }
    assertThat(speeds.slowness("t1", nowMs)).isWithin(0.05).of(1);
  }

  // Guards against state of targets that are gone, and against messages that name unknown ones.
  @Test
  void unlistedTargetsAreIgnored() {
    runUsually();
    record("t1", 30, 30 * 75);
    record("unknown", 30, 30 * 75);
    record("t2", 0, 10);
    assertThat(speeds.slowness("unknown", nowMs)).isEqualTo(1.0);
    speeds.setTargets(List.of(target("t2", "s")));
    assertThat(speeds.slowness("t1", nowMs)).isEqualTo(1.0);
    assertThat(speeds.slowness("t2", nowMs)).isWithin(0.05).of(1);
  }

  // Guards against a loaded target that counts as slow, and gets less for both reasons.
  @Test
  void theKnownLoadExplainsPartOfTheTime() {
    assertThat(TargetSpeeds.plainTimeMs(30, new TargetLoad(0, 5), 6)).isEqualTo(30);
    assertThat(TargetSpeeds.plainTimeMs(60, new TargetLoad(0, 11), 6)).isEqualTo(30);
    assertThat(TargetSpeeds.engineTimeMs(80, TargetLoad.NONE, 64)).isEqualTo(80);
    assertThat(TargetSpeeds.engineTimeMs(240, new TargetLoad(0, 2), 64)).isEqualTo(80);
  }
}
