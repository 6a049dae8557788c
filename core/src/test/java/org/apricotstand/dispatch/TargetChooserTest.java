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
        target(id, "d"), new TargetLoad(0, waiting), Availability.RESIDENT, true, 0, 0, 0);
  }

  private static Candidate cold(String id) {
    return cold(id, 0);
  }

  private static Candidate cold(String id, int queuedLoads) {
    return new Candidate(
        target(id, "d"), TargetLoad.NONE, Availability.COLD, true, queuedLoads, 0, 0);
  }

  private static String chosen(List<Candidate> candidates) {
    return TargetChooser.chooseEngine("m/a1", "d", candidates).orElseThrow().target().id();
  }

  // Guards against another load from the weight store for each short queue.
  @Test
  void prefersAShortQueueToAnotherLoad() {
    assertThat(chosen(List.of(resident("e1", 3), cold("e2"), cold("e3")))).isEqualTo("e1");
  }

  // Guards against a popular adapter that stays on one engine and overloads it.
  @Test
  void spreadsAnAdapterWhoseEngineIsOverloaded() {
    assertThat(chosen(List.of(resident("e1", 30), cold("e2")))).isEqualTo("e2");
  }

  // Guards against a fetch from the weight store although another engine keeps a local copy.
  @Test
  void prefersAnEngineWithACachedCopy() {
    Candidate warm =
        new Candidate(target("e2", "d"), new TargetLoad(5, 1), Availability.WARM, true, 0, 0, 0);
    assertThat(chosen(List.of(cold("e1"), warm, cold("e3")))).isEqualTo("e2");
  }

  // Guards against requests that wait at an engine without a reachable owner, which loads nothing.
  @Test
  void skipsEnginesThatCannotLoad() {
    Candidate withoutOwner =
        new Candidate(target("e1", "d"), TargetLoad.NONE, Availability.COLD, false, 0, 0, 0);
    assertThat(chosen(List.of(withoutOwner, cold("e2")))).isEqualTo("e2");
    assertThat(TargetChooser.chooseEngine("m/a1", "d", List.of(withoutOwner)).isPresent())
        .isFalse();
  }

  // Guards against requests that wait seconds for the base model of a new engine while other
  // engines have it loaded.
  @Test
  void skipsAnEngineWithoutTheBaseModel() {
    String preferred = chosen(List.of(cold("e1"), cold("e2")));
    Candidate withoutModel =
        new Candidate(
            target(preferred, "d"), TargetLoad.NONE, Availability.NO_MODEL, true, 0, 0, 0);
    Candidate other = cold(preferred.equals("e1") ? "e2" : "e1", 8);
    assertThat(chosen(List.of(withoutModel, other))).isEqualTo(other.target().id());
  }

  // Guards against a burst of rare adapters whose loads all queue at one engine.
  @Test
  void spreadsLoadsOverTheQueuesOfEngines() {
    String preferred = chosen(List.of(cold("e1"), cold("e2")));
    String other = preferred.equals("e1") ? "e2" : "e1";
    assertThat(chosen(List.of(cold(preferred, 3), cold(other, 0)))).isEqualTo(other);
    assertThat(chosen(List.of(cold(preferred, 3), cold(other, 3)))).isEqualTo(preferred);
  }

  // Guards against a waiting request that asks one engine after the other for the same adapter as
  // the queues change: on a day of restarts this fetched 1,619 adapters instead of 1,013.
  @Test
  void staysWithTheEngineThatTheLoadWasRequestedFrom() {
    Candidate loadRequested =
        new Candidate(
            target("e1", "d"), TargetLoad.NONE, Availability.LOAD_REQUESTED, true, 9, 0, 0);
    assertThat(chosen(List.of(loadRequested, cold("e2"), cold("e3")))).isEqualTo("e1");
    assertThat(chosen(List.of(loadRequested, resident("e2", 1)))).isEqualTo("e2");
  }

  // Guards against instances that rank the engines differently and load an adapter twice.
  @Test
  void engineChoiceDoesNotDependOnTheOrderOfCandidates() {
    List<Candidate> forward = List.of(cold("e1"), cold("e2"), cold("e3"));
    assertThat(chosen(forward)).isEqualTo(chosen(forward.reversed()));
  }

  private static Candidate slow(Candidate candidate, double slowness) {
    return new Candidate(
        candidate.target(),
        candidate.load(),
        candidate.availability(),
        candidate.canLoad(),
        candidate.queuedLoads(),
        candidate.penaltyMs(),
        candidate.sendDelayMs(),
        candidate.rejecting(),
        slowness);
  }

  // Guards against prompts that wait at a slow engine while a fast one has the adapter too, and
  // against another load because an engine is a little slow.
  @Test
  void aSlowEngineCostsMore() {
    assertThat(chosen(List.of(slow(resident("e1", 2), 2.5), resident("e2", 3)))).isEqualTo("e2");
    assertThat(chosen(List.of(resident("e1", 3), slow(resident("e2", 4), 0.6)))).isEqualTo("e2");
    assertThat(chosen(List.of(slow(resident("e1", 2), 2.5), cold("e2")))).isEqualTo("e1");
  }

  @Test
  void plainRequestsGoToTheLeastLoadedTarget() {
    Candidate busy = Candidate.ofPlainService(target("t1", "d"), new TargetLoad(9, 0), 0, 0);
    Candidate idle = Candidate.ofPlainService(target("t2", "x"), TargetLoad.NONE, 0, 0);
    assertThat(
            TargetChooser.choosePlainTarget("d", List.of(busy, idle)).orElseThrow().target().id())
        .isEqualTo("t2");
  }

  // Guards against a failing target that gets most requests because it answers fast and looks idle.
  @Test
  void failurePenaltyDecays() {
    TargetHealth health = new TargetHealth();
    health.recordFailure("t", 0);
    double initialPenaltyMs = health.penaltyMs("t", 0);
    assertThat(initialPenaltyMs).isGreaterThan(0.0);
    assertThat(health.penaltyMs("t", 10_000)).isLessThan(initialPenaltyMs / 10);
  }

  // Guards against adapters that move to other engines although all engines fail alike.
  @Test
  void penaltiesSharedByAllEnginesAreIgnored() {
    Candidate failing = resident("e1", 0).withPenaltyMs(3_000);
    Candidate alsoFailing = cold("e2").withPenaltyMs(2_500);
    assertThat(chosen(List.of(failing, alsoFailing))).isEqualTo("e1");
    assertThat(chosen(List.of(failing, cold("e2")))).isEqualTo("e2");
  }
}
