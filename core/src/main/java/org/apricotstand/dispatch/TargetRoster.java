package org.apricotstand.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The targets that exist, from a list whose entries may lapse while its store is away. An entry
 * that is missing right after the store's return is kept for a short while, since its target writes
 * it again if it lives.
 *
 * <pre>{@code
 * roster.regained(nowMs);
 * roster.listed(targets, nowMs);
 * List<TargetEntry> current = roster.current(nowMs);
 * }</pre>
 */
public final class TargetRoster {

  /** How long after the store's return a missing entry still counts. */
  public static final long LAPSE_GRACE_MS = 2_500;

  private final Map<String, TargetEntry> listed = new HashMap<>();
  private final Map<String, TargetEntry> lapsed = new HashMap<>();
  private long graceUntilMs = Long.MIN_VALUE;

  /** Notes that the store answers again after it did not. */
  public void regained(long nowMs) {
    graceUntilMs = nowMs + LAPSE_GRACE_MS;
  }

  /** Notes the list as it is now. */
  public void listed(List<TargetEntry> targets, long nowMs) {
    Map<String, TargetEntry> before = Map.copyOf(listed);
    listed.clear();
    targets.forEach(target -> listed.put(target.id(), target));
    if (nowMs < graceUntilMs) {
      before.forEach(
          (id, target) -> {
            if (!listed.containsKey(id) && !target.leaving()) {
              lapsed.put(id, target);
            }
          });
    }
    lapsed.keySet().removeAll(listed.keySet());
  }

  /** Returns the targets that count at this time. */
  public List<TargetEntry> current(long nowMs) {
    if (nowMs >= graceUntilMs) {
      lapsed.clear();
    }
    Map<String, TargetEntry> all = new HashMap<>(lapsed);
    all.putAll(listed);
    return List.copyOf(all.values());
  }

  /** Returns whether entries count that are not in the list. */
  public boolean keepsLapsed() {
    return !lapsed.isEmpty();
  }
}
