package org.apricotstand.bench;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Computes a lower bound of the number of adapter loads, by Belady's algorithm: one cache over all
 * slots of the fleet knows all future requests and evicts the adapter whose next use is furthest
 * ahead.
 */
final class ClairvoyantCache {

  private ClairvoyantCache() {}

  /** Returns the minimum number of loads that serve the adapters in this order. */
  static long leastLoads(List<Integer> adapters, int slots) {
    int[] nextUse = nextUses(adapters);
    Map<Integer, Integer> nextUseByResident = new HashMap<>();
    TreeSet<Long> byNextUse = new TreeSet<>();
    long loads = 0;
    for (int i = 0; i < nextUse.length; i++) {
      int adapter = adapters.get(i);
      Integer cachedNextUse = nextUseByResident.remove(adapter);
      if (cachedNextUse != null) {
        byNextUse.remove(packedKey(cachedNextUse, adapter));
      } else {
        loads++;
        if (nextUseByResident.size() == slots) {
          long furthest = byNextUse.pollLast();
          nextUseByResident.remove((int) (furthest & 0xffff_ffffL));
        }
      }
      nextUseByResident.put(adapter, nextUse[i]);
      byNextUse.add(packedKey(nextUse[i], adapter));
    }
    return loads;
  }

  /** Packs the next use (upper half) and the adapter (lower half) into a key sorted by next use. */
  private static long packedKey(int nextUse, int adapter) {
    return ((long) nextUse << 32) | adapter;
  }

  /** Returns for each request the index of the next request for its adapter, or the maximum. */
  private static int[] nextUses(List<Integer> adapters) {
    int[] nextUse = new int[adapters.size()];
    Arrays.fill(nextUse, Integer.MAX_VALUE);
    Map<Integer, Integer> nextIndexByAdapter = new HashMap<>();
    for (int i = adapters.size() - 1; i >= 0; i--) {
      Integer next = nextIndexByAdapter.put(adapters.get(i), i);
      if (next != null) {
        nextUse[i] = next;
      }
    }
    return nextUse;
  }
}
