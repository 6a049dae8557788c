package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.Map;

/** Load orders whose result is open, and the time that loads take. */
final class LoadTimes {

  private final Map<Long, Long> startedMs = new HashMap<>();
  private final ShortestTime shortest = new ShortestTime();

  void started(long order, long nowMs) {
    startedMs.put(order, nowMs);
  }

  /** Notes a result; returns false when the order was ended before. */
  boolean ended(long order, boolean loaded, long nowMs) {
    Long atMs = startedMs.remove(order);
    if (atMs != null && loaded) {
      shortest.add(nowMs - atMs);
    }
    return atMs != null;
  }

  /** Returns a lower estimate of the time of one load. */
  long shortestMs() {
    return shortest.estimateMs();
  }
}
