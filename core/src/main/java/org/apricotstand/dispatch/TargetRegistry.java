package org.apricotstand.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the targets of the stored list, whose entries may expire while the store is unavailable. An
 * entry that has expired and is missing right after the store's recovery is kept for a grace
 * period, because its target writes it again if it is still running. An entry that was removed is
 * never kept.
 *
 * <pre>{@code
 * registry.onStoreRecovered(nowMs);
 * registry.update(targets, expiredIds, nowMs);
 * List<TargetEntry> current = registry.current(nowMs);
 * }</pre>
 */
public final class TargetRegistry {

  /** Time after the store's recovery for which expired entries are kept. */
  public static final long EXPIRY_GRACE_MS = 2_500;

  private final Map<String, TargetEntry> listedTargets = new HashMap<>();
  private final Map<String, TargetEntry> expiredTargets = new HashMap<>();
  private long graceUntilMs = Long.MIN_VALUE;

  /** Starts the grace period; call it when the store answers again after an outage. */
  public void onStoreRecovered(long nowMs) {
    graceUntilMs = nowMs + EXPIRY_GRACE_MS;
  }

  /**
   * Replaces the list. During the grace period, entries that have expired are kept, except those of
   * targets that were draining.
   *
   * @param expiredIds ids of entries that are gone and may have expired
   */
  public void update(List<TargetEntry> targets, Set<String> expiredIds, long nowMs) {
    if (nowMs < graceUntilMs) {
      expiredIds.stream()
          .map(listedTargets::get)
          .filter(target -> target != null && !target.leaving())
          .forEach(target -> expiredTargets.put(target.id(), target));
    }
    listedTargets.clear();
    targets.forEach(target -> listedTargets.put(target.id(), target));
    expiredTargets.keySet().removeAll(listedTargets.keySet());
  }

  /** Returns the listed targets and, during the grace period, the expired ones. */
  public List<TargetEntry> current(long nowMs) {
    if (nowMs >= graceUntilMs) {
      expiredTargets.clear();
    }
    Map<String, TargetEntry> all = new HashMap<>(expiredTargets);
    all.putAll(listedTargets);
    return List.copyOf(all.values());
  }

  /** Returns whether expired targets are kept that are not in the list. */
  public boolean hasExpiredTargets() {
    return !expiredTargets.isEmpty();
  }
}
