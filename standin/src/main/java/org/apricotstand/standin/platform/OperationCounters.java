package org.apricotstand.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts reads and writes per service, in total and in the busiest second. */
final class OperationCounters {

  private static final long MS_PER_S = 1_000;

  private final Map<String, Counter> countersByOperation = new TreeMap<>();

  /**
   * Counts of the reads or of the writes of one service.
   *
   * @param total number of operations since the start
   * @param busiestSecond highest number of operations in one second
   */
  record Totals(long total, long busiestSecond) {}

  private static final class Counter {
    private long total;
    private long busiestSecond;
    private long currentSecond;
    private long countInCurrentSecond;
  }

  void recordOperation(String service, boolean isWrite, long nowMs) {
    Counter counter =
        countersByOperation.computeIfAbsent(
            service + (isWrite ? "_writes" : "_reads"), unused -> new Counter());
    long second = nowMs / MS_PER_S;
    if (second != counter.currentSecond) {
      counter.currentSecond = second;
      counter.countInCurrentSecond = 0;
    }
    counter.total++;
    counter.countInCurrentSecond++;
    counter.busiestSecond = Math.max(counter.busiestSecond, counter.countInCurrentSecond);
  }

  Map<String, Totals> totals() {
    Map<String, Totals> totals = new TreeMap<>();
    countersByOperation.forEach(
        (name, counter) -> totals.put(name, new Totals(counter.total, counter.busiestSecond)));
    return totals;
  }
}
