package org.apricotstand.fleet;

import org.apricotstand.observe.EventLog;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.FreshnessBounds;

/** Logs when requests with known keys begin to be refused, and when they are admitted again. */
final class StalenessLog {

  // Named after the user of this class, so that searches by source still find the lines.
  private static final EventLog LOG = EventLog.of(FleetService.class);

  private final FreshnessBounds bounds;
  private boolean stale;

  StalenessLog(FreshnessBounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Compares the state with that of the last call.
   *
   * @param confirmedMs latest monotonic time at which the plan was known to be the newest
   */
  void update(RoutingPlan plan, long confirmedMs, long nowMs) {
    boolean isStale = plan.hasTenants() && !bounds.canAdmit(confirmedMs, nowMs);
    if (isStale == stale) {
      return;
    }
    stale = isStale;
    if (isStale) {
      LOG.warn("configuration_stale", "version", plan.version(), "age_ms", nowMs - confirmedMs);
    } else {
      LOG.info("configuration_fresh", "version", plan.version(), "age_ms", nowMs - confirmedMs);
    }
  }
}
