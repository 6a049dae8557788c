package org.apricotstand.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;
import org.junit.jupiter.api.Test;

class PlacementTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");

  private final EngineSet engines = EngineSet.of(targets(6));
  private final Placement placement =
      new Placement(new PlacementPolicy.Affinity(), new SplittableRandom(1));

  /** Guards against requests of an adapter that change engines while the first one has room. */
  @Test
  void staysWithOneEngineWhileItHasRoom() {
    TargetId first = choose(placement, 0);
    for (int i = 1; i < 8; i++) {
      placement.recordSent(first);
      assertThat(choose(placement, i)).isEqualTo(first);
    }
  }

  /** Guards against another load of an adapter that an engine already holds. */
  @Test
  void prefersAnEngineThatHoldsTheAdapter() {
    TargetId other = anyBut(choose(placement, 0));
    placement.recordEngineState(other, 1, List.of(A), 1);
    assertThat(choose(placement, 2)).isEqualTo(other);
    placement.recordEngineState(other, 1, List.of(), 3);
    assertThat(choose(placement, 4)).isNotEqualTo(other);
  }

  /** Guards against a queue at one engine while other candidates are idle. */
  @Test
  void passesOverAnOverloadedEngine() {
    TargetId first = choose(placement, 0);
    placement.recordEngineState(first, 100, List.of(A), 1);
    assertThat(choose(placement, 2)).isNotEqualTo(first);
  }

  /** Guards against requests to a draining engine or to the engine of a failed attempt. */
  @Test
  void neverChoosesAnUnusableEngine() {
    for (PlacementPolicy policy :
        List.of(
            new PlacementPolicy.Affinity(),
            new PlacementPolicy.LeastLoadedLru(),
            new PlacementPolicy.RandomEngine())) {
      Placement tested = new Placement(policy, new SplittableRandom(1));
      TargetId only = engines.id(3);
      assertThat(tested.choose(A, engines, only::equals, 0)).hasValue(only);
      assertThat(tested.choose(A, engines, id -> false, 0)).isEmpty();
    }
  }

  /** Guards against a popular adapter that is confined to two engines. */
  @Test
  void spreadsAPopularAdapter() {
    Set<TargetId> chosen = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      TargetId target = choose(placement, i);
      placement.recordSent(target);
      chosen.add(target);
    }
    // 200 requests; each engine gets at most 1.25 times the mean load plus one batch of 8.
    assertThat(chosen.size()).isAtLeast(4);
  }

  /** Guards against a baseline that ignores the load. */
  @Test
  void leastLoadedBaselineFollowsTheLoad() {
    Placement baseline =
        new Placement(new PlacementPolicy.LeastLoadedLru(), new SplittableRandom(1));
    IntStream.range(0, 6).filter(i -> i != 4).forEach(i -> baseline.recordSent(engines.id(i)));
    assertThat(choose(baseline, 0)).isEqualTo(engines.id(4));
    baseline.recordSent(engines.id(4));
    baseline.recordSent(engines.id(4));
    baseline.recordEnd(engines.id(2));
    assertThat(choose(baseline, 1)).isEqualTo(engines.id(2));
  }

  private TargetId choose(Placement tested, long nowMs) {
    return tested.choose(A, engines, id -> true, nowMs).orElseThrow();
  }

  private TargetId anyBut(TargetId target) {
    return IntStream.range(0, engines.size())
        .mapToObj(engines::id)
        .filter(id -> !id.equals(target))
        .findFirst()
        .orElseThrow();
  }

  static List<Target> targets(int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new Target("engine-" + i, "engine", "base", "d", "", "enforced", 4, 8))
        .toList();
  }
}
