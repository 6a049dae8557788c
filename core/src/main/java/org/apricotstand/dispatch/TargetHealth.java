package org.apricotstand.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers recent failures of targets, so that they get fewer requests for a while. Failures count
 * less the older they are.
 */
public final class TargetHealth {

  private static final double HALF_LIFE_MS = 1_500;
  private static final double FAILURE_COST_MS = 60;
  private static final double UNREACHABLE_COST_MS = 2_000;
  private static final double MAX_COST_MS = 6_000;

  private final Map<String, Penalty> penalties = new HashMap<>();

  private record Penalty(double costMs, long atMs) {
    double at(long nowMs) {
      return costMs * Math.pow(0.5, (nowMs - atMs) / HALF_LIFE_MS);
    }
  }

  /** Notes that a target ran a request and failed it. */
  public void failed(String targetId, long nowMs) {
    add(targetId, FAILURE_COST_MS, nowMs);
  }

  /** Notes that a target could not be reached, or is not what its entry says. */
  public void unreachable(String targetId, long nowMs) {
    add(targetId, UNREACHABLE_COST_MS, nowMs);
  }

  /** Notes that a target answered well. */
  public void succeeded(String targetId, long nowMs) {
    Penalty penalty = penalties.get(targetId);
    if (penalty != null) {
      penalties.put(targetId, new Penalty(penalty.at(nowMs) / 2, nowMs));
    }
  }

  /** Returns the extra cost of a target. */
  public double penaltyMs(String targetId, long nowMs) {
    Penalty penalty = penalties.get(targetId);
    return penalty == null ? 0 : penalty.at(nowMs);
  }

  /** Forgets targets that are gone. */
  public void retain(Set<String> targetIds) {
    penalties.keySet().retainAll(targetIds);
  }

  private void add(String targetId, double costMs, long nowMs) {
    double known = penaltyMs(targetId, nowMs);
    penalties.put(targetId, new Penalty(Math.min(MAX_COST_MS, known + costMs), nowMs));
  }
}
