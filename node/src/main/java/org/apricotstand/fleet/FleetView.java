package org.apricotstand.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.FreshnessBounds;

/**
 * Immutable snapshot of the fleet, published by the control thread for the traffic thread.
 *
 * @param plan current configuration; null before the first one is known
 * @param planConfirmedMs latest monotonic time at which that configuration was known to be the
 *     newest; {@link FreshnessBounds#NEVER_MS} before the first one
 * @param targets targets that accept requests, by service
 * @param residency models and adapters that each engine holds, by engine id
 * @param enginesWithOwner ids of the engines whose owner is known and reachable
 * @param declaredVersions declared versions of models and adapters
 * @param peerLoads requests of the other instances at each target, by target id
 * @param instances names of all live instances, including this one and those that are leaving
 * @param knownInstances number of all registered instances, whether they are live or not; 0 before
 *     they are known
 * @param usesRelays whether {@code peerLoads} come through relays, and are therefore up to a second
 *     old
 * @param slowness times of targets relative to their service, by target id; without those of the
 *     usual speed
 */
public record FleetView(
    RoutingPlan plan,
    long planConfirmedMs,
    Map<String, List<TargetEntry>> targets,
    Map<String, Residency> residency,
    Set<String> enginesWithOwner,
    Map<AdapterKey, Long> declaredVersions,
    Map<String, TargetLoad> peerLoads,
    Set<String> instances,
    int knownInstances,
    boolean usesRelays,
    Map<String, Double> slowness) {

  /** View before anything is known. */
  public static final FleetView EMPTY =
      new FleetView(
          null,
          FreshnessBounds.NEVER_MS,
          Map.of(),
          Map.of(),
          Set.of(),
          Map.of(),
          Map.of(),
          Set.of(),
          0,
          false,
          Map.of());

  /** Returns the targets of a service that accept requests. */
  public List<TargetEntry> targetsOf(String service) {
    return targets.getOrDefault(service, List.of());
  }

  /** Returns the time that a target takes relative to its service; 1 if nothing is known. */
  public double slownessOf(String target) {
    Double known = slowness.get(target);
    return known == null ? 1 : known;
  }

  /** Returns the declared version of a model or adapter; 0 when none is declared. */
  public long declaredVersion(AdapterKey key) {
    return declaredVersions.getOrDefault(key, 0L);
  }
}
