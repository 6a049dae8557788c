package org.apricotstand.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apricotstand.model.TargetId;

/**
 * Tracks the requests that were running when targets crashed and decides how they may run again. A
 * request that was running at one crash (a suspect) runs alone; after a second crash it is refused
 * for a while; once it has run to its end, it is no longer a suspect. Each entry instance has a
 * registry and applies to it the events that it observes and those that other instances report.
 *
 * <p>Further attempts of a request are refused while it is unknown whether a target crashed and
 * while the request runs alone, so that they cannot crash another target in the meantime.
 *
 * <pre>{@code
 * registry.handle(new SuspectEvent.TargetCrashed(fingerprint, target, incarnation), nowMs);
 * RunDecision decision = registry.decide(fingerprint, nowMs);
 * }</pre>
 */
public final class SuspectRegistry {

  /** How long a request is a suspect after its first crash, and refused after its second. */
  public static final long REFUSAL_MS = 600_000;

  /** Maximum time until it is known whether a target crashed. */
  public static final long CRASH_CHECK_MS = 10_000;

  /** Failure code of a request that was running at two crashes. */
  public static final String REFUSED = "suspect_refused";

  /** Failure code of a request while it is unknown whether it crashed a target. */
  public static final String UNSETTLED = "suspect_unsettled";

  /** Failure code of a request while another attempt of it runs alone. */
  public static final String ON_TRIAL = "suspect_on_trial";

  /** Maximum number of fingerprints, to limit memory; the oldest one is dropped beyond it. */
  static final int MAX_FINGERPRINTS = 10_000;

  private static final int CRASHES_UNTIL_REFUSAL = 2;
  private static final long SHORT_RETRY_AFTER_MS = 1_000;

  private final Map<String, Suspect> suspectsByFingerprint = new LinkedHashMap<>();

  private record Crash(TargetId target, long incarnation) implements Comparable<Crash> {
    @Override
    public int compareTo(Crash other) {
      int order = target.compareTo(other.target);
      return order != 0 ? order : Long.compare(incarnation, other.incarnation);
    }
  }

  private static final class Suspect {
    private final Map<Crash, Long> confirmedCrashExpiryMs = new TreeMap<>();
    private final Map<Crash, Long> possibleCrashExpiryMs = new TreeMap<>();
    private long trialUntilMs = Long.MIN_VALUE;

    /** Removes expired crashes and returns whether the request is no longer a suspect. */
    boolean removeExpired(long nowMs) {
      confirmedCrashExpiryMs.values().removeIf(untilMs -> untilMs <= nowMs);
      possibleCrashExpiryMs.values().removeIf(untilMs -> untilMs <= nowMs);
      return confirmedCrashExpiryMs.isEmpty()
          && possibleCrashExpiryMs.isEmpty()
          && trialUntilMs <= nowMs;
    }
  }

  /** Handles an event. */
  public void handle(SuspectEvent event, long nowMs) {
    switch (event) {
      case SuspectEvent.ConnectionLost(String fingerprint, TargetId target, long incarnation) -> {
        Suspect suspect = getOrCreate(fingerprint);
        Crash crash = new Crash(target, incarnation);
        if (!suspect.confirmedCrashExpiryMs.containsKey(crash)) {
          suspect.possibleCrashExpiryMs.put(crash, nowMs + CRASH_CHECK_MS);
        }
      }
      case SuspectEvent.TargetCrashed(String fingerprint, TargetId target, long incarnation) -> {
        Suspect suspect = getOrCreate(fingerprint);
        Crash crash = new Crash(target, incarnation);
        suspect.possibleCrashExpiryMs.remove(crash);
        suspect.confirmedCrashExpiryMs.putIfAbsent(crash, nowMs + REFUSAL_MS);
        // All crashes expire together, counted from the last one.
        suspect.confirmedCrashExpiryMs.replaceAll((known, untilMs) -> nowMs + REFUSAL_MS);
      }
      case SuspectEvent.TargetSurvived(String fingerprint, TargetId target, long incarnation) -> {
        Suspect suspect = suspectsByFingerprint.get(fingerprint);
        if (suspect != null) {
          suspect.possibleCrashExpiryMs.remove(new Crash(target, incarnation));
        }
      }
      case SuspectEvent.RequestFinished(String fingerprint) ->
          suspectsByFingerprint.remove(fingerprint);
      case SuspectEvent.TrialStarted(String fingerprint, long deadlineMs) ->
          getOrCreate(fingerprint).trialUntilMs = deadlineMs;
      case SuspectEvent.TrialEnded(String fingerprint) -> {
        Suspect suspect = suspectsByFingerprint.get(fingerprint);
        if (suspect != null) {
          suspect.trialUntilMs = Long.MIN_VALUE;
        }
      }
    }
  }

  /** Returns whether and how a request may run now. */
  public RunDecision decide(String fingerprint, long nowMs) {
    Suspect suspect = suspectsByFingerprint.get(fingerprint);
    if (suspect == null) {
      return new RunDecision.Unrestricted();
    }
    if (suspect.removeExpired(nowMs)) {
      suspectsByFingerprint.remove(fingerprint);
      return new RunDecision.Unrestricted();
    }
    if (suspect.confirmedCrashExpiryMs.size() >= CRASHES_UNTIL_REFUSAL) {
      long untilMs =
          suspect.confirmedCrashExpiryMs.values().stream().max(Long::compare).orElseThrow();
      return new RunDecision.Refused(REFUSED, untilMs - nowMs);
    }
    if (!suspect.possibleCrashExpiryMs.isEmpty()) {
      return new RunDecision.Refused(UNSETTLED, SHORT_RETRY_AFTER_MS);
    }
    if (suspect.trialUntilMs > nowMs) {
      return new RunDecision.Refused(ON_TRIAL, SHORT_RETRY_AFTER_MS);
    }
    Set<TargetId> crashed =
        suspect.confirmedCrashExpiryMs.keySet().stream()
            .map(Crash::target)
            .collect(Collectors.toSet());
    return new RunDecision.Alone(crashed);
  }

  /** Returns whether a request is a suspect at the given time. */
  public boolean isSuspect(String fingerprint, long nowMs) {
    return !(decide(fingerprint, nowMs) instanceof RunDecision.Unrestricted);
  }

  /** Returns the number of fingerprints that are kept. */
  public int size() {
    return suspectsByFingerprint.size();
  }

  private Suspect getOrCreate(String fingerprint) {
    if (!suspectsByFingerprint.containsKey(fingerprint)
        && suspectsByFingerprint.size() >= MAX_FINGERPRINTS) {
      Iterator<String> oldest = suspectsByFingerprint.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return suspectsByFingerprint.computeIfAbsent(fingerprint, key -> new Suspect());
  }
}
