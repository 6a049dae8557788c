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

/** Guards against a bound that a real cache could beat, or that is not reachable. */
final class ClairvoyantCacheTest {

  @Property(seed = "1", tries = 300)
  void equalsTheBestOfAllEvictions(
      @ForAll @Size(max = 10) List<@IntRange(max = 4) Integer> adapters,
      @ForAll @IntRange(min = 1, max = 3) int slots) {
    long bound = ClairvoyantCache.leastLoads(adapters, slots);
    assertThat(bound).isEqualTo(search(adapters, slots, 0, new TreeSet<>(), new HashMap<>()));
  }

  private static long search(
      List<Integer> adapters,
      int slots,
      int index,
      TreeSet<Integer> resident,
      Map<String, Long> known) {
    if (index == adapters.size()) {
      return 0;
    }
    String state = index + " " + resident;
    Long before = known.get(state);
    if (before != null) {
      return before;
    }
    int wanted = adapters.get(index);
    long best = Long.MAX_VALUE;
    if (resident.contains(wanted)) {
      best = search(adapters, slots, index + 1, resident, known);
    } else if (resident.size() < slots) {
      TreeSet<Integer> next = new TreeSet<>(resident);
      next.add(wanted);
      best = 1 + search(adapters, slots, index + 1, next, known);
    } else {
      for (int victim : resident) {
        TreeSet<Integer> next = new TreeSet<>(resident);
        next.remove(victim);
        next.add(wanted);
        best = Math.min(best, 1 + search(adapters, slots, index + 1, next, known));
      }
    }
    known.put(state, best);
    return best;
  }
}
