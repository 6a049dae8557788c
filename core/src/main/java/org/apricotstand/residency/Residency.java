package org.apricotstand.residency;

import java.util.Map;
import java.util.Set;

/**
 * What an engine holds, as its owner knows it.
 *
 * @param resident versions of the models and adapters that can serve now
 * @param arriving models and adapters on their way
 * @param warm adapters that it held recently and loads fast
 */
public record Residency(
    Map<AdapterKey, Long> resident, Set<AdapterKey> arriving, Set<AdapterKey> warm) {

  /** An engine that holds nothing. */
  public static final Residency EMPTY = new Residency(Map.of(), Set.of(), Set.of());

  /** Copies the collections. */
  public Residency {
    resident = Map.copyOf(resident);
    arriving = Set.copyOf(arriving);
    warm = Set.copyOf(warm);
  }

  /** Returns whether a request for the key can run now, on the given version or a newer one. */
  public boolean serves(AdapterKey key, long version) {
    Long held = resident.get(key);
    return held != null && held >= version;
  }
}
