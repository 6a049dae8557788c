package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.apricotstand.control.ControlThread;
import org.apricotstand.placement.DecayingCounts;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.AdapterUsage;

/** Use of adapters over all instances, from their load reports; control thread. */
final class Popularity {

  private static final long HALF_LIFE_MS = 8_000;

  private final DecayingCounts<AdapterKey> counts = new DecayingCounts<>(HALF_LIFE_MS);
  private final Map<String, Map<String, Set<String>>> inUse = new HashMap<>();

  /** Notes the requests of an instance since its last report. */
  void arrived(Map<AdapterKey, Integer> arrivals) {
    long nowMs = ControlThread.nowMs();
    arrivals.forEach((key, count) -> counts.add(key, count, nowMs));
  }

  /** Sets the adapters that an instance uses, by engine. */
  void uses(String instance, Map<String, Set<String>> adapters) {
    inUse.put(instance, adapters);
  }

  /** Forgets an instance. */
  void forget(String instance) {
    inUse.remove(instance);
  }

  /**
   * Returns the use as seen from one engine.
   *
   * @param versions declared version of each adapter
   * @param reportLagMs time after which each use has been reported
   */
  AdapterUsage at(String engine, ToLongFunction<AdapterKey> versions, LongSupplier reportLagMs) {
    return new AdapterUsage() {
      @Override
      public boolean isInUse(AdapterKey key) {
        String name = key.toString();
        return List.copyOf(inUse.values()).stream()
            .anyMatch(adapters -> adapters.getOrDefault(engine, Set.of()).contains(name));
      }

      @Override
      public long usageReportLagMs() {
        return reportLagMs.getAsLong();
      }

      @Override
      public long declaredVersion(AdapterKey key) {
        return versions.applyAsLong(key);
      }

      @Override
      public double popularity(AdapterKey key) {
        return counts.value(key, ControlThread.nowMs());
      }
    };
  }
}
