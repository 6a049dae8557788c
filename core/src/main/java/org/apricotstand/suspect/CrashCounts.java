package org.apricotstand.suspect;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the targets that crashed while they ran the same request. The request is refused after a
 * few crashes, before it crashes more targets. Each instance records the crashes that it observes
 * and those that other instances report.
 *
 * <pre>{@code
 * counts.recordCrash(fingerprint, incarnation, nowMs);
 * if (counts.isRefused(fingerprint, nowMs)) { ... }
 * }</pre>
 */
public final class CrashCounts {

  /** How long a crash counts after the last one of the same request. */
  static final long CRASH_RETENTION_MS = 120_000;

  /** Maximum number of fingerprints, to limit memory; the oldest one is dropped beyond it. */
  static final int MAX_FINGERPRINTS = 2_000;

  // A harmless request may be running at one crash by chance, but rarely at two.
  private static final int CRASHES_UNTIL_REFUSAL = 2;

  private final Map<String, Crashes> crashesByFingerprint = new LinkedHashMap<>();

  private record Crashes(Set<String> incarnations, long untilMs) {}

  /**
   * Records a crash.
   *
   * @param fingerprint hash that is equal for all attempts of the request
   * @param incarnation identifier of the start of the target that crashed; repeated reports of it
   *     count once
   */
  public void recordCrash(String fingerprint, String incarnation, long nowMs) {
    Crashes known = crashesByFingerprint.get(fingerprint);
    Set<String> incarnations = new HashSet<>(Set.of(incarnation));
    if (known != null && known.untilMs > nowMs) {
      incarnations.addAll(known.incarnations);
    }
    crashesByFingerprint.put(fingerprint, new Crashes(incarnations, nowMs + CRASH_RETENTION_MS));
    if (crashesByFingerprint.size() > MAX_FINGERPRINTS) {
      Iterator<String> oldest = crashesByFingerprint.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns whether a request is refused, because it was running at too many crashes. */
  public boolean isRefused(String fingerprint, long nowMs) {
    Crashes known = crashesByFingerprint.get(fingerprint);
    return known != null
        && known.untilMs > nowMs
        && known.incarnations.size() >= CRASHES_UNTIL_REFUSAL;
  }

  /** Returns whether no crash is recorded, in which case callers need not compute fingerprints. */
  public boolean isEmpty() {
    return crashesByFingerprint.isEmpty();
  }
}
