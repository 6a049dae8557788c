package org.apricotstand.schedule;

import java.util.HashMap;
import java.util.Map;

/** Tracks load commands without a result, and estimates the time that a load takes. */
final class LoadTimes {

  private final Map<Long, Long> startTimesMs = new HashMap<>();
  private final DecayingMinimum minimumTime = new DecayingMinimum();

  void recordStart(long commandId, long nowMs) {
    startTimesMs.put(commandId, nowMs);
  }

  /** Records the result of a load command; returns false if its result was recorded before. */
  boolean recordEnd(long commandId, boolean loaded, long nowMs) {
    Long startedMs = startTimesMs.remove(commandId);
    if (startedMs != null && loaded) {
      minimumTime.add(nowMs - startedMs);
    }
    return startedMs != null;
  }

  /** Returns a low estimate of the time of one load. */
  long minimumMs() {
    return minimumTime.estimateMs();
  }
}
