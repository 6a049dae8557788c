package org.apricotstand.memory;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;

/**
 * Counts what is rejected or closed to stay within the limits, and logs at most one line a second
 * with the numbers by reason. Thousands of callers can be rejected in a second, and a line for each
 * costs more than the rejection. Belongs to the traffic thread.
 */
final class RejectionLog {

  private static final EventLog LOG = EventLog.of(RejectionLog.class);
  private static final long INTERVAL_MS = 1_000;

  private final Metrics metrics;
  private final Map<String, Integer> pending = new TreeMap<>();
  private long nextLineMs = Long.MIN_VALUE;

  RejectionLog(Metrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Records one rejection and logs it now unless a line was logged a moment ago.
   *
   * @return whether a line was logged
   */
  boolean record(String reason, long nowMs) {
    metrics.count("memory.rejected." + reason);
    pending.merge(reason, 1, Integer::sum);
    return flush(nowMs);
  }

  /**
   * Logs what has been recorded since the last line, unless that was a moment ago.
   *
   * @return whether a line was logged
   */
  boolean flush(long nowMs) {
    if (pending.isEmpty() || nowMs < nextLineMs) {
      return false;
    }
    Object[] numbersByReason =
        pending.entrySet().stream()
            .flatMap(entry -> Stream.of(entry.getKey(), entry.getValue()))
            .toArray();
    LOG.info("callers_rejected", numbersByReason);
    pending.clear();
    nextLineMs = nowMs + INTERVAL_MS;
    return true;
  }
}
