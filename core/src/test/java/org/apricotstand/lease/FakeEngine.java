package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestId;

/** Engine with adapter slots that either refuses old fencing tokens or ignores them. */
final class FakeEngine {

  final int slots;
  private final boolean enforcesFencing;
  private final Set<AdapterVersion> residentAdapters = new HashSet<>();
  private final Map<RequestId, AdapterVersion> runningRequests = new HashMap<>();
  private long highestFencing;
  final List<String> violations = new ArrayList<>();

  FakeEngine(int slots, boolean enforcesFencing) {
    this.slots = slots;
    this.enforcesFencing = enforcesFencing;
  }

  /** Records a fencing token; returns whether it is refused because a higher one came first. */
  private boolean isStale(long fencing) {
    boolean stale = fencing < highestFencing;
    highestFencing = Math.max(highestFencing, fencing);
    return stale && enforcesFencing;
  }

  boolean load(AdapterVersion adapter, long fencing) {
    if (isStale(fencing)
        || residentAdapters.size() >= slots && !residentAdapters.contains(adapter)) {
      return false;
    }
    residentAdapters.add(adapter);
    return true;
  }

  boolean unload(AdapterVersion adapter, long fencing, String by) {
    if (isStale(fencing)) {
      return false;
    }
    if (runningRequests.containsValue(adapter)) {
      violations.add(by + " evicted " + adapter + " in use by " + runningRequests);
    }
    residentAdapters.remove(adapter);
    return true;
  }

  /** Starts a request; returns false when it is refused without having run. */
  boolean start(RequestId id, AdapterVersion adapter, long fencing) {
    if (isStale(fencing) || !residentAdapters.contains(adapter)) {
      return false;
    }
    runningRequests.put(id, adapter);
    return true;
  }

  void end(RequestId id) {
    runningRequests.remove(id);
  }

  int runningRequests() {
    return runningRequests.size();
  }

  Set<AdapterVersion> residentAdapters() {
    return Set.copyOf(residentAdapters);
  }
}
