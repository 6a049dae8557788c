package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against a bound above or below the minimum number of loads, which is found by search. */
final class ClairvoyantCacheTest {

  @Property(seed = "1", tries = 300)
  void equalsMinimumOverAllEvictionChoices(
      @ForAll @Size(max = 10) List<@IntRange(max = 4) Integer> adapters,
      @ForAll @IntRange(min = 1, max = 3) int slots) {
    long bound = ClairvoyantCache.leastLoads(adapters, slots);
    assertThat(bound).isEqualTo(minimumLoads(adapters, slots, 0, new TreeSet<>(), new HashMap<>()));
  }

  private static long minimumLoads(
      List<Integer> adapters,
      int slots,
      int index,
      TreeSet<Integer> resident,
      Map<String, Long> minimumByState) {
    if (index == adapters.size()) {
      return 0;
    }
    String state = index + " " + resident;
    Long knownMinimum = minimumByState.get(state);
    if (knownMinimum != null) {
      return knownMinimum;
    }
    int requested = adapters.get(index);
    long minimum = Long.MAX_VALUE;
    if (resident.contains(requested)) {
      minimum = minimumLoads(adapters, slots, index + 1, resident, minimumByState);
    } else if (resident.size() < slots) {
      TreeSet<Integer> nextResident = new TreeSet<>(resident);
      nextResident.add(requested);
      minimum = 1 + minimumLoads(adapters, slots, index + 1, nextResident, minimumByState);
    } else {
      for (int evicted : resident) {
        TreeSet<Integer> nextResident = new TreeSet<>(resident);
        nextResident.remove(evicted);
        nextResident.add(requested);
        minimum =
            Math.min(
                minimum,
                1 + minimumLoads(adapters, slots, index + 1, nextResident, minimumByState));
      }
    }
    minimumByState.put(state, minimum);
    return minimum;
  }
}
