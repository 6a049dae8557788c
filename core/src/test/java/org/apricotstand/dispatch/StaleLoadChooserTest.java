package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apricotstand.dispatch.StaleLoadSimulation.Demand;
import org.apricotstand.dispatch.StaleLoadSimulation.Result;
import org.apricotstand.dispatch.StaleLoadSimulation.Speeds;
import org.junit.jupiter.api.Test;

class StaleLoadChooserTest {

  private static final StaleLoadSimulation.Choice LEAST_LOADED =
      (domain, candidates, draw) -> TargetChooser.choosePlainTarget(domain, candidates);

  private static final int DRAWS = 1_000;

  private static Candidate candidate(
      String id, String domain, int load, double penaltyMs, boolean rejecting) {
    return candidate(id, domain, load, penaltyMs, rejecting, 1);
  }

  private static Candidate candidate(
      String id, String domain, int load, double penaltyMs, boolean rejecting, double slowness) {
    TargetEntry target = new TargetEntry(id, "s", "10.0.0.1", 80, domain, 6, false, 0, Map.of());
    return Candidate.ofPlainService(
        target, new TargetLoad(0, load), penaltyMs, 0, rejecting, slowness);
  }

  private static Candidate candidate(String id, int load) {
    return candidate(id, "x", load, 0, false);
  }

  /** Returns the share of requests from domain "d" that the target with this id gets. */
  private static double share(String id, Candidate... candidates) {
    long chosen =
        IntStream.range(0, DRAWS)
            .mapToObj(i -> StaleLoadChooser.choose("d", List.of(candidates), (double) i / DRAWS))
            .filter(choice -> choice.orElseThrow().target().id().equals(id))
            .count();
    return (double) chosen / DRAWS;
  }

  private static Result play(StaleLoadSimulation.Choice choice, boolean marks, Demand demand) {
    return StaleLoadSimulation.playSeeds(4, choice, marks, demand, Speeds.EQUAL, false);
  }

  // Guards against all instances that send to the same target until new figures arrive: its queue
  // overflows while the others are idle.
  @Test
  void clumpsOfManyInstancesDoNotOverflowOneTarget() {
    Demand demand = new Demand(128, 8);
    Result before = play(LEAST_LOADED, false, demand);
    Result after = play(StaleLoadChooser::choose, true, demand);
    assertThat(after.requests()).isEqualTo(before.requests());
    assertThat(after.rejections()).isLessThan(before.rejections() / 10);
    assertThat(after.refused()).isAtMost(before.refused());
    assertThat(after.p95Ms()).isLessThan(before.p95Ms());
  }

  // Guards against domains that push their requests back and forth: the demand of each swings by
  // half, and the figures by which it is moved are half a second old.
  @Test
  void theTargetsShareSwingingDemandEvenly() {
    Demand demand = new Demand(200, 10);
    Result before = play(LEAST_LOADED, false, demand);
    Result after = play(StaleLoadChooser::choose, true, demand);
    assertThat(after.peakShare()).isLessThan(before.peakShare());
    assertThat(after.rejections()).isLessThan(before.rejections() / 4);
    assertThat(after.p95Ms()).isLessThan(before.p95Ms());
  }

  // Guards against a choice that does more harm than the former one where nothing has room.
  @Test
  void overloadIsNotMadeWorse() {
    Demand demand = new Demand(450, 10);
    Result before = play(LEAST_LOADED, false, demand);
    Result after = play(StaleLoadChooser::choose, true, demand);
    assertThat(after.rejections()).isLessThan(before.rejections());
    assertThat(after.refused()).isLessThan(before.refused());
    assertThat(after.p95Ms()).isLessThan(before.p95Ms());
  }

  // Guards against slow targets that make a twentieth of the answers slow although others have
  // room, in slow spells that last as long as a few publications of the figures.
  @Test
  void slowTargetsGetLess() {
    for (boolean hasSlowSpells : new boolean[] {false, true}) {
      Speeds speeds = new Speeds(List.of(0.6, 1.0, 1.6), hasSlowSpells);
      Demand demand = new Demand(128, 4);
      Result without =
          StaleLoadSimulation.playSeeds(4, StaleLoadChooser::choose, true, demand, speeds, false);
      Result with =
          StaleLoadSimulation.playSeeds(4, StaleLoadChooser::choose, true, demand, speeds, true);
      assertThat(with.p95Ms()).isLessThan(0.9 * without.p95Ms());
      assertThat(with.rejections()).isAtMost(without.rejections() + with.requests() / 1_000);
    }
  }

  // Guards against differences that are made up: the times of equal targets differ by half, and
  // times in the queue are not those of a slow target.
  @Test
  void equalTargetsAreServedAlike() {
    Demand demand = new Demand(128, 8);
    Result without = play(StaleLoadChooser::choose, true, demand);
    Result with =
        StaleLoadSimulation.playSeeds(
            4, StaleLoadChooser::choose, true, demand, Speeds.EQUAL, true);
    assertThat(with.p95Ms()).isLessThan(1.05 * without.p95Ms());
    assertThat(with.peakShare()).isLessThan(without.peakShare() + 0.02);
    assertThat(with.rejections()).isAtMost(without.rejections() + with.requests() / 1_000);
  }

  // Guards against a slow target that is left out, so that nobody learns that it is fast again.
  @Test
  void aSlowTargetKeepsPartOfTheRequests() {
    Candidate slow = candidate("t1", "x", 0, 0, false, 2.5);
    assertThat(share("t1", slow, candidate("t2", 0))).isWithin(0.01).of(2.0 / 7);
  }

  // Guards against a slow target that gets as much as the others, and against one that gets nothing
  // although it has emptied its queue since the figures were published.
  @Test
  void aFullTargetGetsLessButNotNothing() {
    assertThat(share("t1", candidate("t1", 6), candidate("t2", 0))).isWithin(0.01).of(1.0 / 3);
    assertThat(share("t1", candidate("t1", 30), candidate("t2", 0))).isWithin(0.01).of(1.0 / 7);
  }

  // Guards against traffic between domains that brings nothing.
  @Test
  void theOwnDomainIsPreferred() {
    Candidate own = candidate("t1", "d", 0, 0, false);
    assertThat(share("t1", own, candidate("t2", 0), candidate("t3", 0))).isWithin(0.01).of(0.5);
  }

  // Guards against requests that go to a target that has just said that it is full.
  @Test
  void aRejectingTargetGetsNothing() {
    Candidate rejecting = candidate("t1", "d", 0, 0, true);
    assertThat(share("t1", rejecting, candidate("t2", 9))).isEqualTo(0.0);
    assertThat(share("t1", candidate("t2", 9), rejecting)).isEqualTo(0.0);
  }

  // Guards against requests that are refused without being sent because all targets were full a
  // moment ago.
  @Test
  void theOneWithTheMostRoomIsChosenIfAllReject() {
    Candidate fuller = candidate("t1", "x", 20, 0, true);
    Candidate emptier = candidate("t2", "x", 12, 0, true);
    assertThat(share("t2", fuller, emptier)).isEqualTo(1.0);
    assertThat(share("t2", emptier, fuller)).isEqualTo(1.0);
  }

  // Guards against requests that are drawn to a target that cannot be reached, and against a
  // service without choice if all of its targets have failed.
  @Test
  void failingTargetsGetNothingUnlessAllFail() {
    Candidate unreachable = candidate("t1", "d", 0, 2_000, false);
    assertThat(share("t1", unreachable, candidate("t2", 30))).isEqualTo(0.0);
    Candidate other = candidate("t2", "d", 0, 2_000, false);
    assertThat(share("t1", unreachable, other)).isWithin(0.01).of(0.5);
  }

  @Test
  void nothingIsChosenWithoutCandidates() {
    assertThat(StaleLoadChooser.choose("d", List.of(), 0.5)).isEqualTo(Optional.empty());
  }

  // Guards against a draw at the end of the range that chooses nothing.
  @Test
  void eachDrawChoosesATarget() {
    List<Candidate> candidates = List.of(candidate("t1", 1), candidate("t2", 2));
    double greatestDraw = Math.nextDown(1.0);
    assertThat(StaleLoadChooser.choose("d", candidates, greatestDraw).isPresent()).isTrue();
    assertThat(StaleLoadChooser.choose("d", candidates, 0).isPresent()).isTrue();
  }
}
