package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

  private static TargetEntry target(String id, String domain) {
    return new TargetEntry(id, "s", "10.0.0.1", 80, domain, 64, false, 0, Map.of());
  }

  private static Candidate resident(String id, int waiting) {
    return new Candidate(
        target(id, "d"), new TargetLoad(0, waiting), true, false, false, false, true, 0);
  }

  private static Candidate cold(String id) {
    return new Candidate(target(id, "d"), TargetLoad.NONE, false, false, false, false, true, 0);
  }

  private static String chosen(List<Candidate> candidates) {
    return TargetChooser.chooseEngine("m/a1", "d", candidates).orElseThrow().target().id();
  }

  // Guards against a load from the weight store for each short queue.
  @Test
  void waitsShortlyRatherThanLoadAgain() {
    assertThat(chosen(List.of(resident("e1", 3), cold("e2"), cold("e3")))).isEqualTo("e1");
  }

  // Guards against a hot adapter that overloads its only engine.
  @Test
  void spreadsAnAdapterWhoseEngineIsOverloaded() {
    assertThat(chosen(List.of(resident("e1", 30), cold("e2")))).isEqualTo("e2");
  }

  // Guards against a fetch from the store where another engine keeps a copy.
  @Test
  void prefersAnEngineWithACopy() {
    Candidate warm =
        new Candidate(target("e2", "d"), new TargetLoad(5, 1), false, false, false, true, true, 0);
    assertThat(chosen(List.of(cold("e1"), warm, cold("e3")))).isEqualTo("e2");
  }

  // Guards against requests parked at an engine that nobody can command.
  @Test
  void passesOverEnginesThatCannotLoad() {
    Candidate orphan =
        new Candidate(target("e1", "d"), TargetLoad.NONE, false, false, false, false, false, 0);
    assertThat(chosen(List.of(orphan, cold("e2")))).isEqualTo("e2");
    assertThat(TargetChooser.chooseEngine("m/a1", "d", List.of(orphan)).isPresent()).isFalse();
  }

  // Guards against two instances that load the same adapter on different idle engines.
  @Test
  void allInstancesRankTheEnginesOfAnAdapterAlike() {
    List<Candidate> forward = List.of(cold("e1"), cold("e2"), cold("e3"));
    assertThat(chosen(forward)).isEqualTo(chosen(forward.reversed()));
  }

  @Test
  void plainRequestsGoToTheLeastLoadedTarget() {
    Candidate busy =
        new Candidate(target("t1", "d"), new TargetLoad(9, 0), true, false, false, false, false, 0);
    Candidate idle =
        new Candidate(target("t2", "x"), TargetLoad.NONE, true, false, false, false, false, 0);
    assertThat(TargetChooser.choosePlain("d", List.of(busy, idle)).orElseThrow().target().id())
        .isEqualTo("t2");
  }

  // Guards against a failing target that answers fast and so looks idle.
  @Test
  void failuresCostForAWhile() {
    TargetHealth health = new TargetHealth();
    health.failed("t", 0);
    double atOnceMs = health.penaltyMs("t", 0);
    assertThat(atOnceMs).isGreaterThan(0.0);
    assertThat(health.penaltyMs("t", 10_000)).isLessThan(atOnceMs / 10);
  }

  // Guards against adapters that move to other engines because all engines fail alike.
  @Test
  void failuresOfAllEnginesMoveNothing() {
    Candidate failing = resident("e1", 0).withPenaltyMs(3_000);
    Candidate alsoFailing = cold("e2").withPenaltyMs(2_500);
    assertThat(chosen(List.of(failing, alsoFailing))).isEqualTo("e1");
    assertThat(chosen(List.of(failing, cold("e2")))).isEqualTo("e2");
  }
}
