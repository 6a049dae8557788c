package org.apricotstand.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps a penalty for each target that failed recently, so that it gets fewer requests for a while.
 * Penalties decay exponentially.
 */
public final class TargetHealth {

  private static final double HALF_LIFE_MS = 1_500;
  private static final double FAILURE_PENALTY_MS = 60;
  private static final double UNREACHABLE_PENALTY_MS = 2_000;
  private static final double MAX_PENALTY_MS = 6_000;

  /** Time for which a target counts as full after it rejected a request. */
  private static final long REJECTING_MS = 500;

  /** Longest such time, for targets that reject every request. */
  private static final long MAX_REJECTING_MS = 4_000;

  private final Map<String, Penalty> penalties = new HashMap<>();
  private final Map<String, Rejections> rejections = new HashMap<>();

  /**
   * Rejections of a target without an answer between them.
   *
   * @param durationMs time for which the last one counts
   * @param untilMs end of that time
   */
  private record Rejections(long durationMs, long untilMs) {}

  private record Penalty(double initialMs, long recordedAtMs) {
    double decayedMs(long nowMs) {
      return initialMs * Math.pow(0.5, (nowMs - recordedAtMs) / HALF_LIFE_MS);
    }
  }

  /** Records that a target failed or rejected a request. */
  public void recordFailure(String targetId, long nowMs) {
    addPenalty(targetId, FAILURE_PENALTY_MS, nowMs);
  }

  /** Records that a target could not be reached, or that its entry is wrong. */
  public void recordUnreachable(String targetId, long nowMs) {
    addPenalty(targetId, UNREACHABLE_PENALTY_MS, nowMs);
  }

  /**
   * Records that a target rejected a request because it was full. The time for which that counts
   * doubles while the target answers nothing between rejections, so that a target whose fault is to
   * reject everything costs few retries.
   */
  public void recordRejection(String targetId, long nowMs) {
    Rejections last = rejections.get(targetId);
    if (last != null && nowMs < last.untilMs) {
      return;
    }
    long durationMs = last == null ? REJECTING_MS : Math.min(MAX_REJECTING_MS, 2 * last.durationMs);
    rejections.put(targetId, new Rejections(durationMs, nowMs + durationMs));
  }

  /** Returns whether a target rejected a request a moment ago. */
  public boolean isRejecting(String targetId, long nowMs) {
    Rejections last = rejections.get(targetId);
    return last != null && nowMs < last.untilMs;
  }

  /**
   * Records a successful answer: halves the penalty, and ends the doubling of the time for which
   * rejections count.
   */
  public void recordSuccess(String targetId, long nowMs) {
    Rejections last = rejections.get(targetId);
    if (last != null && nowMs >= last.untilMs) {
      rejections.remove(targetId);
    } else if (last != null) {
      // Half, since the next rejection doubles it.
      rejections.put(targetId, new Rejections(REJECTING_MS / 2, last.untilMs));
    }
    Penalty penalty = penalties.get(targetId);
    if (penalty != null) {
      penalties.put(targetId, new Penalty(penalty.decayedMs(nowMs) / 2, nowMs));
    }
  }

  /** Returns the present penalty of a target; 0 when it has none. */
  public double penaltyMs(String targetId, long nowMs) {
    Penalty penalty = penalties.get(targetId);
    return penalty == null ? 0 : penalty.decayedMs(nowMs);
  }

  /** Removes the penalties and rejections of all targets but the given ones. */
  public void retain(Set<String> targetIds) {
    penalties.keySet().retainAll(targetIds);
    rejections.keySet().retainAll(targetIds);
  }

  private void addPenalty(String targetId, double addedMs, long nowMs) {
    double currentMs = penaltyMs(targetId, nowMs);
    penalties.put(targetId, new Penalty(Math.min(MAX_PENALTY_MS, currentMs + addedMs), nowMs));
  }
}
