package org.apricotstand.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Measures the demand and the use of each tenant at this instance. Tenants without recent demand
 * are forgotten.
 */
public final class TenantUseMeter {

  /** Time over which demand is averaged: several requests at the mean rate of an instance. */
  private static final double AVERAGING_MS = 2_000;

  /** A smaller demand, in units a window, counts as none. */
  private static final double MIN_OFFERED = 0.05;

  private final long windowMs;
  private final Map<String, Meter> meters = new HashMap<>();
  private long updatedMs;

  private static final class Meter {
    private final UseWindow used;
    private double offered;

    private Meter(long windowMs, long nowMs) {
      used = new UseWindow(windowMs, nowMs);
    }
  }

  /**
   * Creates a meter without use.
   *
   * @param windowMs length of the window over which use is summed up
   */
  public TenantUseMeter(long windowMs, long nowMs) {
    this.windowMs = windowMs;
    this.updatedMs = nowMs;
  }

  /**
   * Adds what was offered and admitted since the last call, in units by tenant.
   *
   * @return the tenants with recent demand
   */
  public Map<String, TenantUse> update(
      Map<String, Long> offered, Map<String, Long> admitted, long nowMs) {
    double elapsedMs = Math.max(1, nowMs - updatedMs);
    updatedMs = nowMs;
    double weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
    meters.values().forEach(meter -> meter.offered *= 1 - weight);
    offered.forEach(
        (tenant, cost) -> meterOf(tenant, nowMs).offered += weight * cost * windowMs / elapsedMs);
    admitted.forEach((tenant, cost) -> meterOf(tenant, nowMs).used.add(cost, nowMs));
    Map<String, TenantUse> uses = new HashMap<>();
    for (Iterator<Map.Entry<String, Meter>> all = meters.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<String, Meter> entry = all.next();
      Meter meter = entry.getValue();
      long used = (long) Math.ceil(meter.used.sum(nowMs));
      if (used == 0 && meter.offered < MIN_OFFERED) {
        all.remove();
      } else {
        uses.put(entry.getKey(), new TenantUse((long) Math.ceil(meter.offered), used));
      }
    }
    return uses;
  }

  private Meter meterOf(String tenant, long nowMs) {
    return meters.computeIfAbsent(tenant, name -> new Meter(windowMs, nowMs));
  }
}
