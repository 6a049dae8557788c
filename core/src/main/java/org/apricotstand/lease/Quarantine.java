package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.lease.OwnerRow.Former;
import org.apricotstand.model.InstanceId;

/** Former owners of a target that may still run requests on the adapters found in its slots. */
final class Quarantine {

  private final List<Former> formers;
  private final long startedMs;
  private final long boundMs;

  Quarantine(List<Former> formers, long startedMs, long longestRequestMs) {
    this.formers = new ArrayList<>(formers);
    this.startedMs = startedMs;
    this.boundMs =
        startedMs + LeaseTimes.FROZEN_MS + LeaseTimes.STRANGER_MARGIN_MS + longestRequestMs;
  }

  void acknowledged(InstanceId former, long fencing) {
    formers.removeIf(f -> f.instance().equals(former) && f.fencing() <= fencing);
  }

  /** A process with a newer incarnation took the name, so the former one is gone. */
  void seen(Map<InstanceId, Long> newestIncarnations) {
    formers.removeIf(f -> newestIncarnations.getOrDefault(f.instance(), 0L) > f.incarnation());
  }

  /** The platform dropped a former owner after the takeover. */
  void listed(Set<InstanceId> names, Set<InstanceId> listedBefore, long askedMs) {
    if (askedMs >= startedMs) {
      formers.removeIf(f -> !names.contains(f.instance()) && listedBefore.contains(f.instance()));
    }
  }

  boolean isOver(long nowMs, int running) {
    return formers.isEmpty() || nowMs >= boundMs && running == 0;
  }
}
