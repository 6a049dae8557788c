package org.apricotstand.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Estimates the demand of each tenant at this instance from the cost that was offered, admitted or
 * not. Tenants without recent demand are forgotten.
 */
public final class DemandEstimate {

  /** Time over which demand is averaged: several requests at the mean rate of an instance. */
  private static final double AVERAGING_MS = 2_000;

  private static final double MS_PER_S = 1_000;

  /** A smaller demand, in units a second, is served from the equal part. */
  private static final double MIN_DEMAND_PER_S = 1;

  private final Map<String, Double> perS = new HashMap<>();
  private long updatedMs;

  /** Creates an estimate without demand. */
  public DemandEstimate(long nowMs) {
    updatedMs = nowMs;
  }

  /**
   * Adds the cost that was offered since the last call.
   *
   * @return demand in units a second, by tenant; only tenants with recent demand
   */
  public Map<String, Long> update(Map<String, Long> offered, long nowMs) {
    double elapsedMs = Math.max(1, nowMs - updatedMs);
    updatedMs = nowMs;
    double weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
    perS.replaceAll((tenant, demand) -> demand * (1 - weight));
    offered.forEach(
        (tenant, cost) -> perS.merge(tenant, weight * cost * MS_PER_S / elapsedMs, Double::sum));
    Map<String, Long> rounded = new HashMap<>();
    for (Iterator<Map.Entry<String, Double>> all = perS.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<String, Double> entry = all.next();
      if (entry.getValue() < MIN_DEMAND_PER_S) {
        all.remove();
      } else {
        rounded.put(entry.getKey(), Math.round(entry.getValue()));
      }
    }
    return rounded;
  }
}
