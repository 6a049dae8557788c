package org.apricotstand.standin.platform;

import java.util.Map;
import java.util.TreeMap;

/** Counts reads and writes by service and by second. */
final class OperationCounters {

  private static final long MS_PER_S = 1_000;

  private final Map<String, Counter> counters = new TreeMap<>();

  /**
   * Totals of one kind of operation.
   *
   * @param total operations since the start
   * @param busiestSecond most operations in one second
   */
  record Totals(long total, long busiestSecond) {}

  private static final class Counter {
    private long total;
    private long busiestSecond;
    private long second;
    private long inSecond;
  }

  void count(String service, boolean write, long nowMs) {
    Counter counter =
        counters.computeIfAbsent(service + (write ? "_writes" : "_reads"), unused -> new Counter());
    long second = nowMs / MS_PER_S;
    if (second != counter.second) {
      counter.second = second;
      counter.inSecond = 0;
    }
    counter.total++;
    counter.inSecond++;
    counter.busiestSecond = Math.max(counter.busiestSecond, counter.inSecond);
  }

  Map<String, Totals> totals() {
    Map<String, Totals> totals = new TreeMap<>();
    counters.forEach(
        (name, counter) -> totals.put(name, new Totals(counter.total, counter.busiestSecond)));
    return totals;
  }
}
