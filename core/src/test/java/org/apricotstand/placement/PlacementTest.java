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
  private final Placement placement = new Placement(new Policy.Affinity(), new SplittableRandom(1));

  /** Guards against an adapter that wanders between engines without need. */
  @Test
  void staysWithOneEngineWhileItHasRoom() {
    TargetId first = choose(placement, 0);
    for (int i = 1; i < 8; i++) {
      placement.sent(first);
      assertThat(choose(placement, i)).isEqualTo(first);
    }
  }

  /** Guards against a second load of an adapter that another engine holds already. */
  @Test
  void prefersAnEngineThatHoldsTheAdapter() {
    TargetId other = anyBut(choose(placement, 0));
    placement.learn(other, 1, List.of(A), 1);
    assertThat(choose(placement, 2)).isEqualTo(other);
    placement.learn(other, 1, List.of(), 3);
    assertThat(choose(placement, 4)).isNotEqualTo(other);
  }

  /** Guards against a queue at one engine while its alternatives are idle. */
  @Test
  void passesOverAnOverloadedEngine() {
    TargetId first = choose(placement, 0);
    placement.learn(first, 100, List.of(A), 1);
    assertThat(choose(placement, 2)).isNotEqualTo(first);
  }

  /** Guards against requests to a leaving engine or to the one of a failed attempt. */
  @Test
  void neverChoosesAnUnusableEngine() {
    for (Policy policy :
        List.of(new Policy.Affinity(), new Policy.LeastLoadedLru(), new Policy.RandomEngine())) {
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
      placement.sent(target);
      chosen.add(target);
    }
    // 200 requests, at most 1.25 times the mean and one batch of 8 at each engine.
    assertThat(chosen.size()).isAtLeast(4);
  }

  /** Guards against a baseline that ignores the load. */
  @Test
  void leastLoadedBaselineFollowsTheLoad() {
    Placement baseline = new Placement(new Policy.LeastLoadedLru(), new SplittableRandom(1));
    IntStream.range(0, 6).filter(i -> i != 4).forEach(i -> baseline.sent(engines.id(i)));
    assertThat(choose(baseline, 0)).isEqualTo(engines.id(4));
    baseline.sent(engines.id(4));
    baseline.sent(engines.id(4));
    baseline.ended(engines.id(2));
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
