package org.apricotstand.residency;

import java.util.Map;
import java.util.Set;

/**
 * What an engine holds, as its owner knows it.
 *
 * @param resident versions of the models and adapters that can serve now
 * @param arriving models and adapters on their way
 * @param warm adapters that it held recently and loads fast
 * @param queuedLoads adapters that requests wait for and whose load has not begun
 */
public record Residency(
    Map<AdapterKey, Long> resident,
    Set<AdapterKey> arriving,
    Set<AdapterKey> warm,
    int queuedLoads) {

  /** An engine that holds nothing. */
  public static final Residency EMPTY = of(Map.of());

  /** Returns the residency of an engine of which only its content is known. */
  public static Residency of(Map<AdapterKey, Long> resident) {
    return new Residency(resident, Set.of(), Set.of(), 0);
  }

  /** Copies the collections. */
  public Residency {
    resident = Map.copyOf(resident);
    arriving = Set.copyOf(arriving);
    warm = Set.copyOf(warm);
  }

  /** Returns whether the base model of an adapter can serve now. */
  public boolean holdsModelOf(AdapterKey key) {
    return resident.containsKey(key.modelKey());
  }

  /** Returns whether a request for the key can run now, on the given version or a newer one. */
  public boolean serves(AdapterKey key, long version) {
    Long held = resident.get(key);
    return held != null && held >= version;
  }
}
