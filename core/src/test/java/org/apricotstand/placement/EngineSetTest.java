package org.apricotstand.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;
import org.junit.jupiter.api.Test;

class EngineSetTest {

  private static final int ADAPTERS = 3_000;

  /** Guards against adapters that move although their engine remains in the set. */
  @Test
  void movesOnlyTheAdaptersOfARemovedEngine() {
    List<Target> all = PlacementTest.targets(10);
    List<Target> fewer = new ArrayList<>(all);
    Target removed = fewer.remove(4);
    EngineSet before = EngineSet.of(all);
    EngineSet after = EngineSet.of(fewer);
    int moved = 0;
    for (int i = 0; i < ADAPTERS; i++) {
      TargetId first = first(before, i);
      if (!first.equals(first(after, i))) {
        assertThat(first).isEqualTo(new TargetId(removed.name()));
        moved++;
      }
    }
    assertThat(moved).isGreaterThan(ADAPTERS / 20);
    assertThat(moved).isLessThan(ADAPTERS / 5);
  }

  /** Guards against an engine with many slots that gets no more adapters than a small one. */
  @Test
  void ranksByNumberOfSlots() {
    List<Target> targets = new ArrayList<>(PlacementTest.targets(3));
    targets.add(new Target("large", "engine", "base", "d", "", "enforced", 12, 8));
    EngineSet engines = EngineSet.of(targets);
    int large = 0;
    for (int i = 0; i < ADAPTERS; i++) {
      large += first(engines, i).value().equals("large") ? 1 : 0;
    }
    assertThat(large).isGreaterThan(ADAPTERS * 45 / 100);
    assertThat(large).isLessThan(ADAPTERS * 55 / 100);
  }

  /** Guards against a cached ranking that is too short, or one that contains an engine twice. */
  @Test
  void extendsACachedRanking() {
    EngineSet engines = EngineSet.of(PlacementTest.targets(6));
    AdapterVersion adapterVersion = new AdapterVersion("a", "v1");
    int[] two = engines.ranking(adapterVersion, 2).clone();
    int[] all = engines.ranking(adapterVersion, 9);
    assertThat(Arrays.copyOf(all, 2)).isEqualTo(two);
    assertThat(Arrays.stream(all).distinct().count()).isEqualTo(6);
  }

  private static TargetId first(EngineSet engines, int adapter) {
    return engines.id(engines.ranking(new AdapterVersion("a" + adapter, "v1"), 1)[0]);
  }
}
