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

/**
 * Tracks the usage of adapters over all instances from their load reports. Not thread-safe; used on
 * the control thread only.
 */
final class AdapterUsageTracker {

  private static final long HALF_LIFE_MS = 8_000;

  private final DecayingCounts<AdapterKey> requestCounts = new DecayingCounts<>(HALF_LIFE_MS);
  private final Map<String, Map<String, Set<String>>> inUseByInstance = new HashMap<>();

  /** Adds the new requests that an instance received since its last report. */
  void addArrivals(Map<AdapterKey, Integer> arrivals) {
    long nowMs = ControlThread.nowMs();
    arrivals.forEach((key, count) -> requestCounts.add(key, count, nowMs));
  }

  /** Sets the adapters that requests of an instance currently use, by engine. */
  void setAdaptersInUse(String instance, Map<String, Set<String>> adapters) {
    inUseByInstance.put(instance, adapters);
  }

  /** Removes the adapters in use by an instance that is gone. */
  void removeInstance(String instance) {
    inUseByInstance.remove(instance);
  }

  /**
   * Returns the usage of adapters at one engine; the result reads the current state.
   *
   * @param versions declared version of each adapter
   * @param usageReportLagMs time in milliseconds after which each use has been reported
   */
  AdapterUsage usageAt(
      String engine, ToLongFunction<AdapterKey> versions, LongSupplier usageReportLagMs) {
    return new AdapterUsage() {
      @Override
      public boolean isInUse(AdapterKey key) {
        String name = key.toString();
        return List.copyOf(inUseByInstance.values()).stream()
            .anyMatch(adapters -> adapters.getOrDefault(engine, Set.of()).contains(name));
      }

      @Override
      public long usageReportLagMs() {
        return usageReportLagMs.getAsLong();
      }

      @Override
      public long declaredVersion(AdapterKey key) {
        return versions.applyAsLong(key);
      }

      @Override
      public double popularity(AdapterKey key) {
        return requestCounts.value(key, ControlThread.nowMs());
      }
    };
  }
}
