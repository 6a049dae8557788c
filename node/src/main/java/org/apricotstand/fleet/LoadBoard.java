package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;

/**
 * Counts this instance's requests at each target. The traffic thread writes, the control thread
 * reads.
 */
public final class LoadBoard {

  private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();
  private final Map<Use, Integer> running = new ConcurrentHashMap<>();
  private final Map<AdapterKey, Integer> arrivals = new ConcurrentHashMap<>();

  private record Use(String target, AdapterKey key) {}

  /** Counts a request for an adapter. */
  public void arrived(AdapterKey key) {
    arrivals.merge(key, 1, Integer::sum);
  }

  /** Counts a request that was sent; the adapter is null at plain services. */
  public void sent(String target, AdapterKey key) {
    loads.merge(target, new TargetLoad(0, 1), TargetLoad::plus);
    if (key != null) {
      running.merge(new Use(target, key), 1, Integer::sum);
    }
  }

  /** Notes that the first byte of an answer arrived. */
  public void started(String target) {
    loads.merge(target, new TargetLoad(1, -1), TargetLoad::plus);
  }

  /** Notes that a request ended. */
  public void ended(String target, AdapterKey key, boolean hadStarted) {
    TargetLoad less = hadStarted ? new TargetLoad(-1, 0) : new TargetLoad(0, -1);
    loads.computeIfPresent(target, (id, load) -> zeroIsNull(load.plus(less)));
    if (key != null) {
      running.computeIfPresent(new Use(target, key), (use, count) -> count <= 1 ? null : count - 1);
    }
  }

  /** Returns this instance's requests at a target. */
  public TargetLoad load(String target) {
    return loads.getOrDefault(target, TargetLoad.NONE);
  }

  /** Returns the requests of all targets. */
  public Map<String, TargetLoad> loads() {
    return new HashMap<>(loads);
  }

  /** Returns the adapters in use, by target. */
  public Map<String, Set<String>> adaptersInUse() {
    Map<String, Set<String>> inUse = new TreeMap<>();
    running
        .keySet()
        .forEach(
            use ->
                inUse.computeIfAbsent(use.target, id -> new TreeSet<>()).add(use.key.toString()));
    return inUse;
  }

  /** Returns the requests by adapter since the last call. */
  public Map<AdapterKey, Integer> takeArrivals() {
    Map<AdapterKey, Integer> taken = new HashMap<>();
    for (AdapterKey key : arrivals.keySet()) {
      Integer count = arrivals.remove(key);
      if (count != null) {
        taken.put(key, count);
      }
    }
    return taken;
  }

  private static TargetLoad zeroIsNull(TargetLoad load) {
    return load.total() <= 0 ? null : load;
  }
}
