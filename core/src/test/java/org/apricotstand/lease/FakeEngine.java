package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestId;

/** Engine with adapter slots that refuses or ignores old fencing numbers. */
final class FakeEngine {

  final int slots;
  private final boolean enforcesFencing;
  private final Set<AdapterVersion> resident = new HashSet<>();
  private final Map<RequestId, AdapterVersion> running = new HashMap<>();
  private long highestFencing;
  final List<String> violations = new ArrayList<>();

  FakeEngine(int slots, boolean enforcesFencing) {
    this.slots = slots;
    this.enforcesFencing = enforcesFencing;
  }

  private boolean isStale(long fencing) {
    boolean stale = fencing < highestFencing;
    highestFencing = Math.max(highestFencing, fencing);
    return stale && enforcesFencing;
  }

  boolean load(AdapterVersion name, long fencing) {
    if (isStale(fencing) || resident.size() >= slots && !resident.contains(name)) {
      return false;
    }
    resident.add(name);
    return true;
  }

  boolean unload(AdapterVersion name, long fencing, String by) {
    if (isStale(fencing)) {
      return false;
    }
    if (running.containsValue(name)) {
      violations.add(by + " evicted " + name + " in use by " + running);
    }
    resident.remove(name);
    return true;
  }

  /** Starts a request; returns false when it is refused as not run. */
  boolean start(RequestId id, AdapterVersion name, long fencing) {
    if (isStale(fencing) || !resident.contains(name)) {
      return false;
    }
    running.put(id, name);
    return true;
  }

  void end(RequestId id) {
    running.remove(id);
  }

  int running() {
    return running.size();
  }

  Set<AdapterVersion> resident() {
    return Set.copyOf(resident);
  }
}
