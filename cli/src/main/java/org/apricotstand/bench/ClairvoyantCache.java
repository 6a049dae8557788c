package org.apricotstand.bench;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Lower bound of loads: one cache over all slots of the fleet that knows the future and evicts the
 * adapter that is needed furthest ahead (Belady's algorithm).
 */
final class ClairvoyantCache {

  private ClairvoyantCache() {}

  /** Returns the least number of loads that serve the adapters in this order. */
  static long leastLoads(List<Integer> adapters, int slots) {
    int[] nextUse = nextUses(adapters);
    Map<Integer, Integer> resident = new HashMap<>();
    TreeSet<Long> byNextUse = new TreeSet<>();
    long loads = 0;
    for (int i = 0; i < nextUse.length; i++) {
      int adapter = adapters.get(i);
      Integer known = resident.remove(adapter);
      if (known != null) {
        byNextUse.remove(key(known, adapter));
      } else {
        loads++;
        if (resident.size() == slots) {
          long furthest = byNextUse.pollLast();
          resident.remove((int) (furthest & 0xffff_ffffL));
        }
      }
      resident.put(adapter, nextUse[i]);
      byNextUse.add(key(nextUse[i], adapter));
    }
    return loads;
  }

  private static long key(int nextUse, int adapter) {
    return ((long) nextUse << 32) | adapter;
  }

  private static int[] nextUses(List<Integer> adapters) {
    int[] nextUse = new int[adapters.size()];
    Arrays.fill(nextUse, Integer.MAX_VALUE);
    Map<Integer, Integer> later = new HashMap<>();
    for (int i = adapters.size() - 1; i >= 0; i--) {
      Integer next = later.put(adapters.get(i), i);
      if (next != null) {
        nextUse[i] = next;
      }
    }
    return nextUse;
  }
}
