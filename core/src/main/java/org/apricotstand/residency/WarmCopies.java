package org.apricotstand.residency;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers the adapters that an engine held most recently. The engine keeps copies of them, from
 * which it loads them much faster than from the weight store.
 */
public final class WarmCopies {

  private final int capacity;
  private final LinkedHashSet<AdapterKey> adaptersByRecency = new LinkedHashSet<>();

  /**
   * Creates an empty set.
   *
   * @param capacity number of adapters of which the engine keeps copies
   */
  public WarmCopies(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Records that the engine holds these adapters, and drops the least recent ones beyond the
   * capacity.
   */
  public void recordResident(Set<AdapterKey> adapters) {
    adaptersByRecency.removeAll(adapters);
    adaptersByRecency.addAll(adapters);
    Iterator<AdapterKey> oldest = adaptersByRecency.iterator();
    while (adaptersByRecency.size() > capacity) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the recorded adapters; the engine may have dropped the copies of some. */
  public Set<AdapterKey> adapters() {
    return Set.copyOf(adaptersByRecency);
  }
}
