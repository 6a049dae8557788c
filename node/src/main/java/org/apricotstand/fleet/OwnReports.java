package org.apricotstand.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.quota.TenantUse;

/**
 * Creates the reports of this instance's requests and remembers the latest ones, so that what a
 * relay publishes can be told apart from the own requests in it. Not thread-safe; used on the
 * control thread only.
 */
final class OwnReports {

  private static final int REMEMBERED_REPORTS = 32;

  private final LocalLoadTracker localLoad;
  private final Deque<PeerMessage.MemberReport> reports = new ArrayDeque<>();
  private long includedReport;

  OwnReports(LocalLoadTracker localLoad) {
    this.localLoad = localLoad;
  }

  /**
   * Creates the next report and takes what is counted since the last one.
   *
   * @param settledLoans number up to which the use of loans is in {@code tenants}
   */
  PeerMessage.MemberReport take(long sequence, Map<String, TenantUse> tenants, long settledLoans) {
    Map<String, Integer> started = new TreeMap<>();
    Map<String, Integer> waiting = new TreeMap<>();
    localLoad
        .loadsByTarget()
        .forEach(
            (id, load) -> {
              started.put(id, load.started());
              waiting.put(id, load.waiting());
            });
    Map<String, Integer> arrivals = new TreeMap<>();
    localLoad.takeArrivals().forEach((key, count) -> arrivals.put(key.toString(), count));
    PeerMessage.MemberReport report =
        new PeerMessage.MemberReport(
            sequence,
            started,
            waiting,
            MemberReports.toLists(localLoad.adaptersInUse()),
            arrivals,
            tenants,
            settledLoans,
            new TreeMap<>(localLoad.takeAnswerTimes()));
    reports.addLast(report);
    if (reports.size() > REMEMBERED_REPORTS) {
      reports.removeFirst();
    }
    return report;
  }

  /** Records that the published loads include the report with this number. */
  void recordIncluded(long sequence) {
    includedReport = sequence;
  }

  /** Removes the requests of this instance from the published loads. */
  void subtractFrom(Map<String, TargetLoad> loads) {
    reports.stream()
        .filter(report -> report.sequence() == includedReport)
        .forEach(report -> RelayedState.subtract(loads, report));
  }
}
