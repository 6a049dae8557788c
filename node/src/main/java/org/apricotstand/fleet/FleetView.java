package org.apricotstand.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.route.RoutingPlan;

/**
 * Immutable state that the control thread publishes for the traffic thread.
 *
 * @param plan configuration in force; null before one is known
 * @param targets targets that take requests, by service
 * @param residency what each engine holds, by its id
 * @param commandable engines whose owner can be reached
 * @param versions declared versions
 * @param peerLoads requests of the other instances, by target id
 * @param instances number of live instances
 */
public record FleetView(
    RoutingPlan plan,
    Map<String, List<TargetEntry>> targets,
    Map<String, Residency> residency,
    Set<String> commandable,
    Map<AdapterKey, Long> versions,
    Map<String, TargetLoad> peerLoads,
    int instances) {

  /** Nothing is known. */
  public static final FleetView EMPTY =
      new FleetView(null, Map.of(), Map.of(), Set.of(), Map.of(), Map.of(), 1);

  /** Returns the targets of a service. */
  public List<TargetEntry> targetsOf(String service) {
    return targets.getOrDefault(service, List.of());
  }

  /** Returns the declared version of a model or adapter; 0 when none was declared. */
  public long versionOf(AdapterKey key) {
    return versions.getOrDefault(key, 0L);
  }
}
