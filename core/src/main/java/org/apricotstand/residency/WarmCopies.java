package org.apricotstand.residency;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Remembers the adapters that an engine held recently. The engine keeps copies of them and loads
 * them again much faster than from the weight store.
 */
public final class WarmCopies {

  private final int capacity;
  private final LinkedHashSet<AdapterKey> newestLast = new LinkedHashSet<>();

  /**
   * Creates an empty memory.
   *
   * @param capacity most adapters of which the engine keeps copies
   */
  public WarmCopies(int capacity) {
    this.capacity = capacity;
  }

  /** Notes that the engine holds these adapters. */
  public void held(Set<AdapterKey> adapters) {
    newestLast.removeAll(adapters);
    newestLast.addAll(adapters);
    Iterator<AdapterKey> oldest = newestLast.iterator();
    while (newestLast.size() > capacity) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the adapters, without a guarantee that each copy still exists. */
  public Set<AdapterKey> adapters() {
    return Set.copyOf(newestLast);
  }
}
