package org.apricotstand.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/** Load and resident adapters of each engine, as reported in the replies to this instance. */
final class EngineLoads {

  /** Age at which the reported requests of other instances no longer count towards the load. */
  private static final double REPORT_EXPIRY_MS = 5_000;

  private final Map<TargetId, EngineLoad> loads = new HashMap<>();
  private final Map<AdapterVersion, Set<TargetId>> holders = new HashMap<>();
  private double totalRequests;

  private static final class EngineLoad {
    private int ownRequests;
    private int otherRequests;
    private long reportedMs;
    private Set<AdapterVersion> resident = Set.of();
  }

  /** Counts a request that this instance sent to an engine. */
  void recordSent(TargetId target) {
    loadOf(target).ownRequests++;
    totalRequests++;
  }

  /** Stops counting a request whose answer from the engine ended. */
  void recordEnd(TargetId target) {
    EngineLoad load = loadOf(target);
    if (load.ownRequests > 0) {
      load.ownRequests--;
      totalRequests--;
    }
  }

  /**
   * Replaces the recorded state of an engine by that of a reply. Requests beyond those that this
   * instance sent count as requests of other instances.
   */
  void recordEngineState(
      TargetId target, int requests, Collection<AdapterVersion> resident, long nowMs) {
    EngineLoad load = loadOf(target);
    int others = Math.max(0, requests - load.ownRequests);
    totalRequests += others - load.otherRequests;
    load.otherRequests = others;
    load.reportedMs = nowMs;
    Set<AdapterVersion> previous = load.resident;
    load.resident = new HashSet<>(resident);
    previous.stream()
        .filter(adapterVersion -> !load.resident.contains(adapterVersion))
        .forEach(adapterVersion -> removeHolder(adapterVersion, target));
    load.resident.forEach(
        adapterVersion ->
            holders.computeIfAbsent(adapterVersion, unseen -> new HashSet<>()).add(target));
  }

  /** Returns the engines that hold an adapter version. */
  Set<TargetId> holders(AdapterVersion adapterVersion) {
    return holders.getOrDefault(adapterVersion, Set.of());
  }

  /**
   * Returns the estimated number of requests that wait or run at an engine. The weight of the
   * requests of other instances falls to 0 while no reply arrives.
   */
  double estimatedRequests(TargetId target, long nowMs) {
    EngineLoad load = loads.get(target);
    if (load == null) {
      return 0;
    }
    double weight = Math.max(0, 1 - (nowMs - load.reportedMs) / REPORT_EXPIRY_MS);
    return load.ownRequests + weight * load.otherRequests;
  }

  /** Returns the number of requests at all engines, according to the latest replies. */
  double totalRequests() {
    return totalRequests;
  }

  /** Removes the state of all engines except the given ones. */
  void retain(List<TargetId> engines) {
    Set<TargetId> kept = Set.copyOf(engines);
    List<TargetId> removed = loads.keySet().stream().filter(id -> !kept.contains(id)).toList();
    for (TargetId target : removed) {
      EngineLoad load = loads.remove(target);
      totalRequests -= load.ownRequests + load.otherRequests;
      load.resident.forEach(adapterVersion -> removeHolder(adapterVersion, target));
    }
  }

  private void removeHolder(AdapterVersion adapterVersion, TargetId target) {
    Set<TargetId> holding = holders.get(adapterVersion);
    if (holding != null && holding.remove(target) && holding.isEmpty()) {
      holders.remove(adapterVersion);
    }
  }

  private EngineLoad loadOf(TargetId target) {
    return loads.computeIfAbsent(target, unseen -> new EngineLoad());
  }
}
