package org.apricotstand.request;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apricotstand.hedge.HedgeAllowance;
import org.apricotstand.hedge.HedgeDecision;
import org.apricotstand.hedge.HedgeDelays;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.route.RoutingPlan;

/**
 * Holds what the hedges of all requests share: usual times, allowances and counts. Belongs to the
 * traffic thread.
 */
final class Hedging {

  private static final EventLog LOG = EventLog.of(Hedging.class);

  /** Time between two log lines, which report all hedges since the last one. */
  private static final long LOG_INTERVAL_MS = 10_000;

  private final double maxShare;
  private final Metrics metrics;
  private final HedgeDelays delays;
  private final Map<String, HedgeAllowance> allowances = new HashMap<>();
  private int sent;
  private int won;
  private int refused;
  private long nextLogMs = Long.MIN_VALUE;

  /**
   * Creates the state of an instance that has sent no request.
   *
   * @param maxShare hedges allowed per request
   */
  Hedging(double maxShare, Metrics metrics) {
    this.maxShare = maxShare;
    this.metrics = metrics;
    this.delays = new HedgeDelays(maxShare);
  }

  HedgeDelays delays() {
    return delays;
  }

  HedgeAllowance allowance(String service) {
    return allowances.computeIfAbsent(service, name -> new HedgeAllowance(maxShare));
  }

  /** Records a request of a caller to a service. */
  void recordRequest(String service) {
    allowance(service).recordRequest();
  }

  void recordSent() {
    sent++;
    metrics.count("request.hedge.sent");
  }

  void recordWon() {
    won++;
    metrics.count("request.hedge.won");
  }

  void recordRefused(HedgeDecision.Reason reason) {
    refused++;
    metrics.count("request.hedge.refused." + reason.name().toLowerCase(Locale.ROOT));
  }

  /** Forgets routes and targets that no longer exist, and logs the hedges since the last line. */
  void sweep(RoutingPlan plan, Set<String> liveTargets, long nowMs) {
    if (plan != null) {
      delays.retain(plan.routeNames(), liveTargets);
    }
    if (nowMs >= nextLogMs && sent + won + refused > 0) {
      LOG.info("requests_hedged", "sent", sent, "won", won, "refused", refused);
      sent = 0;
      won = 0;
      refused = 0;
      nextLogMs = nowMs + LOG_INTERVAL_MS;
    }
  }
}
