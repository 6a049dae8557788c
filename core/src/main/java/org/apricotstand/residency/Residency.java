package org.apricotstand.residency;

import java.util.Map;
import java.util.Set;

/**
 * Models and adapters that an engine holds, according to its owner.
 *
 * @param resident versions of the models and adapters that can serve requests now
 * @param loading models and adapters whose load is in progress
 * @param warm adapters that the engine held recently and can load again fast
 * @param queuedLoads number of adapters that requests wait for and whose load has not started
 */
public record Residency(
    Map<AdapterKey, Long> resident,
    Set<AdapterKey> loading,
    Set<AdapterKey> warm,
    int queuedLoads) {

  /** Residency of an engine that holds nothing. */
  public static final Residency EMPTY = of(Map.of());

  /** Returns the residency of an engine of which only the loaded models and adapters are known. */
  public static Residency of(Map<AdapterKey, Long> resident) {
    return new Residency(resident, Set.of(), Set.of(), 0);
  }

  /** Creates a residency with copies of the collections. */
  public Residency {
    resident = Map.copyOf(resident);
    loading = Set.copyOf(loading);
    warm = Set.copyOf(warm);
  }

  /** Returns whether the base model of the adapter can serve requests now. */
  public boolean holdsModelOf(AdapterKey key) {
    return resident.containsKey(key.modelKey());
  }

  /** Returns whether requests for the key can run now, on the given version or a newer one. */
  public boolean serves(AdapterKey key, long version) {
    Long residentVersion = resident.get(key);
    return residentVersion != null && residentVersion >= version;
  }
}
