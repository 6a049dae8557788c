package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.lease.OwnerRow.FormerOwner;
import org.apricotstand.model.InstanceId;

/**
 * Protects the adapters that were in the slots of a target at its takeover. They are not evicted
 * while a former owner may still run requests on them.
 */
final class Quarantine {

  private final List<FormerOwner> formerOwners;
  private final long startedMs;
  private final long timeoutAtMs;

  Quarantine(List<FormerOwner> formerOwners, long startedMs, long longestRequestMs) {
    this.formerOwners = new ArrayList<>(formerOwners);
    this.startedMs = startedMs;
    this.timeoutAtMs =
        startedMs
            + LeaseTimes.MAX_DISCONNECTED_MS
            + LeaseTimes.DISCONNECT_DETECTION_MARGIN_MS
            + longestRequestMs;
  }

  /** Removes a former owner that acknowledged the end of its requests up to a fencing token. */
  void removeAcknowledged(InstanceId formerOwner, long fencing) {
    formerOwners.removeIf(f -> f.instance().equals(formerOwner) && f.fencing() <= fencing);
  }

  /** Removes former owners whose name has a newer incarnation: the former process is gone. */
  void removeReplaced(Map<InstanceId, Long> newestIncarnations) {
    formerOwners.removeIf(f -> newestIncarnations.getOrDefault(f.instance(), 0L) > f.incarnation());
  }

  /**
   * Removes former owners that the platform listed before and lists no longer. A list that was
   * requested before the takeover is ignored.
   */
  void removeUnlisted(Set<InstanceId> names, Set<InstanceId> listedBefore, long requestedMs) {
    if (requestedMs >= startedMs) {
      formerOwners.removeIf(
          f -> !names.contains(f.instance()) && listedBefore.contains(f.instance()));
    }
  }

  /**
   * Returns whether no former owner is left, or the longest time for which one may serve and finish
   * its requests has passed and the engine runs nothing.
   */
  boolean isOver(long nowMs, int runningRequests) {
    return formerOwners.isEmpty() || nowMs >= timeoutAtMs && runningRequests == 0;
  }
}
