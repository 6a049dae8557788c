package org.apricotstand.suspect;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the targets that crashed while they ran the same request, so that the request is ended
 * everywhere before it takes down more. All instances feed it with their own observations and those
 * of the others.
 *
 * <pre>{@code
 * counts.crashed(fingerprint, incarnation, nowMs);
 * if (counts.isRefused(fingerprint, nowMs)) { ... }
 * }</pre>
 */
public final class CrashCounts {

  /** How long a crash counts. */
  static final long MEMORY_MS = 120_000;

  /** Fingerprints that are kept; beyond it the oldest are dropped to bound the memory. */
  static final int MAX_FINGERPRINTS = 2_000;

  // One crash can hit an innocent request that ran beside the guilty one; two rarely do.
  private static final int CRASHES_UNTIL_REFUSAL = 2;

  private final Map<String, Crashes> crashes = new LinkedHashMap<>();

  private record Crashes(Set<String> incarnations, long untilMs) {}

  /**
   * Notes a crash.
   *
   * @param fingerprint what all sendings of the request have in common
   * @param incarnation the start of the target that crashed; a second report of it counts once
   */
  public void crashed(String fingerprint, String incarnation, long nowMs) {
    Crashes known = crashes.get(fingerprint);
    Set<String> incarnations = new HashSet<>(Set.of(incarnation));
    if (known != null && known.untilMs > nowMs) {
      incarnations.addAll(known.incarnations);
    }
    crashes.put(fingerprint, new Crashes(incarnations, nowMs + MEMORY_MS));
    if (crashes.size() > MAX_FINGERPRINTS) {
      Iterator<String> oldest = crashes.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns whether a request is to be refused. */
  public boolean isRefused(String fingerprint, long nowMs) {
    Crashes known = crashes.get(fingerprint);
    return known != null
        && known.untilMs > nowMs
        && known.incarnations.size() >= CRASHES_UNTIL_REFUSAL;
  }

  /** Returns whether no crash is known, in which case no fingerprint is needed. */
  public boolean isEmpty() {
    return crashes.isEmpty();
  }
}
