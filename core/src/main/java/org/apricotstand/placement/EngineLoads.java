package org.apricotstand.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/** Load and residency of engines as this instance learnt them from replies. */
final class EngineLoads {

  /** What others sent to an engine no longer counts after this time without a reply. */
  private static final double FORGET_MS = 5_000;

  private final Map<TargetId, EngineLoad> loads = new HashMap<>();
  private final Map<AdapterVersion, Set<TargetId>> holders = new HashMap<>();
  private double total;

  private static final class EngineLoad {
    private int own;
    private int others;
    private long learntMs;
    private Set<AdapterVersion> resident = Set.of();
  }

  void sent(TargetId target) {
    of(target).own++;
    total++;
  }

  void ended(TargetId target) {
    EngineLoad load = of(target);
    if (load.own > 0) {
      load.own--;
      total--;
    }
  }

  void learn(TargetId target, int requests, Collection<AdapterVersion> resident, long nowMs) {
    EngineLoad load = of(target);
    int others = Math.max(0, requests - load.own);
    total += others - load.others;
    load.others = others;
    load.learntMs = nowMs;
    Set<AdapterVersion> before = load.resident;
    load.resident = new HashSet<>(resident);
    before.stream()
        .filter(name -> !load.resident.contains(name))
        .forEach(name -> drop(name, target));
    load.resident.forEach(
        name -> holders.computeIfAbsent(name, unseen -> new HashSet<>()).add(target));
  }

  /** Returns the engines that hold an adapter version. */
  Set<TargetId> holders(AdapterVersion adapterVersion) {
    return holders.getOrDefault(adapterVersion, Set.of());
  }

  /** Returns the estimated number of requests that wait or run at an engine. */
  double estimate(TargetId target, long nowMs) {
    EngineLoad load = loads.get(target);
    if (load == null) {
      return 0;
    }
    double trust = Math.max(0, 1 - (nowMs - load.learntMs) / FORGET_MS);
    return load.own + trust * load.others;
  }

  /** Returns the number of requests at all engines, by the newest replies. */
  double total() {
    return total;
  }

  void retain(List<TargetId> known) {
    Set<TargetId> kept = Set.copyOf(known);
    List<TargetId> gone = loads.keySet().stream().filter(id -> !kept.contains(id)).toList();
    for (TargetId target : gone) {
      EngineLoad load = loads.remove(target);
      total -= load.own + load.others;
      load.resident.forEach(name -> drop(name, target));
    }
  }

  private void drop(AdapterVersion name, TargetId target) {
    Set<TargetId> holding = holders.get(name);
    if (holding != null && holding.remove(target) && holding.isEmpty()) {
      holders.remove(name);
    }
  }

  private EngineLoad of(TargetId target) {
    return loads.computeIfAbsent(target, unseen -> new EngineLoad());
  }
}
