package org.apricotstand.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.overlay.OverlayInstance;

/**
 * Counts the instances of the fleet whether they are live or not: an instance that is out of reach
 * may still serve requests.
 */
final class KnownInstances {

  private final String self;
  private Set<String> registered = Set.of();
  private boolean read;

  /** Creates a count that is unknown until the registered instances have been read. */
  KnownInstances(String self) {
    this.self = self;
  }

  /** Sets the other registered instances. */
  void setRegistered(Collection<OverlayInstance> others) {
    registered = others.stream().map(OverlayInstance::name).collect(Collectors.toSet());
    read = true;
  }

  /**
   * Returns the number of instances with this one; 0 before the registered ones are known.
   *
   * @param live other instances that are live, and may have registered since the last read
   */
  int count(Set<String> live) {
    Set<String> known = new HashSet<>(registered);
    known.addAll(live);
    known.add(self);
    return read ? known.size() : 0;
  }
}
