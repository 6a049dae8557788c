package org.apricotstand.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apricotstand.model.TargetId;

/**
 * Knows which requests were running when targets crashed, and decides how they may run again. A
 * request that was running at one crash runs alone; after a second crash it is refused for a while;
 * running to the end clears it. One instance exists per entry instance, fed with its own
 * observations and those of the others.
 *
 * <p>While it is open whether a target crashed, or while a suspect runs alone, further sendings of
 * the same request are refused, so that they cannot take down another target meanwhile.
 *
 * <pre>{@code
 * registry.handle(new SuspectEvent.Crashed(fingerprint, target, incarnation), nowMs);
 * Verdict verdict = registry.verdict(fingerprint, nowMs);
 * }</pre>
 */
public final class SuspectRegistry {

  /** How long a request is refused after its second crash, and suspected after its first. */
  public static final long REFUSAL_MS = 600_000;

  /** Longest time in which it is learnt whether a target crashed. */
  public static final long SETTLE_MS = 10_000;

  /** Code of a refusal after the second crash. */
  public static final String REFUSED = "suspect_refused";

  /** Code of a refusal while it is open whether a target crashed. */
  public static final String UNSETTLED = "suspect_unsettled";

  /** Code of a refusal while the same request runs alone. */
  public static final String ON_TRIAL = "suspect_on_trial";

  /** Fingerprints that are kept; beyond it the oldest are dropped to bound the memory. */
  static final int MAX_FINGERPRINTS = 10_000;

  private static final int CRASHES_UNTIL_REFUSAL = 2;
  private static final long RETRY_SOON_MS = 1_000;

  private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

  private record Crash(TargetId target, long incarnation) implements Comparable<Crash> {
    @Override
    public int compareTo(Crash other) {
      int order = target.compareTo(other.target);
      return order != 0 ? order : Long.compare(incarnation, other.incarnation);
    }
  }

  private static final class Suspicion {
    private final Map<Crash, Long> crashedUntilMs = new TreeMap<>();
    private final Map<Crash, Long> openUntilMs = new TreeMap<>();
    private long trialUntilMs = Long.MIN_VALUE;

    boolean isOver(long nowMs) {
      crashedUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
      openUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
      return crashedUntilMs.isEmpty() && openUntilMs.isEmpty() && trialUntilMs <= nowMs;
    }
  }

  /** Applies what was learnt. */
  public void handle(SuspectEvent event, long nowMs) {
    switch (event) {
      case SuspectEvent.ConnectionLost(String fingerprint, TargetId target, long incarnation) -> {
        Suspicion suspicion = open(fingerprint);
        Crash crash = new Crash(target, incarnation);
        if (!suspicion.crashedUntilMs.containsKey(crash)) {
          suspicion.openUntilMs.put(crash, nowMs + SETTLE_MS);
        }
      }
      case SuspectEvent.Crashed(String fingerprint, TargetId target, long incarnation) -> {
        Suspicion suspicion = open(fingerprint);
        Crash crash = new Crash(target, incarnation);
        suspicion.openUntilMs.remove(crash);
        suspicion.crashedUntilMs.putIfAbsent(crash, nowMs + REFUSAL_MS);
        // The refusal counts from the last crash.
        suspicion.crashedUntilMs.replaceAll((known, untilMs) -> nowMs + REFUSAL_MS);
      }
      case SuspectEvent.Survived(String fingerprint, TargetId target, long incarnation) -> {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null) {
          suspicion.openUntilMs.remove(new Crash(target, incarnation));
        }
      }
      case SuspectEvent.Finished(String fingerprint) -> suspicions.remove(fingerprint);
      case SuspectEvent.TrialStarted(String fingerprint, long deadlineMs) ->
          open(fingerprint).trialUntilMs = deadlineMs;
      case SuspectEvent.TrialEnded(String fingerprint) -> {
        Suspicion suspicion = suspicions.get(fingerprint);
        if (suspicion != null) {
          suspicion.trialUntilMs = Long.MIN_VALUE;
        }
      }
    }
  }

  /** Returns how a request may run now. */
  public Verdict verdict(String fingerprint, long nowMs) {
    Suspicion suspicion = suspicions.get(fingerprint);
    if (suspicion == null) {
      return new Verdict.Free();
    }
    if (suspicion.isOver(nowMs)) {
      suspicions.remove(fingerprint);
      return new Verdict.Free();
    }
    if (suspicion.crashedUntilMs.size() >= CRASHES_UNTIL_REFUSAL) {
      long untilMs = suspicion.crashedUntilMs.values().stream().max(Long::compare).orElseThrow();
      return new Verdict.Refused(REFUSED, untilMs - nowMs);
    }
    if (!suspicion.openUntilMs.isEmpty()) {
      return new Verdict.Refused(UNSETTLED, RETRY_SOON_MS);
    }
    if (suspicion.trialUntilMs > nowMs) {
      return new Verdict.Refused(ON_TRIAL, RETRY_SOON_MS);
    }
    Set<TargetId> crashed =
        suspicion.crashedUntilMs.keySet().stream().map(Crash::target).collect(Collectors.toSet());
    return new Verdict.Alone(crashed);
  }

  /** Returns whether a request is suspected at the moment. */
  public boolean isSuspect(String fingerprint, long nowMs) {
    return !(verdict(fingerprint, nowMs) instanceof Verdict.Free);
  }

  /** Returns the number of fingerprints that are kept. */
  public int size() {
    return suspicions.size();
  }

  private Suspicion open(String fingerprint) {
    if (!suspicions.containsKey(fingerprint) && suspicions.size() >= MAX_FINGERPRINTS) {
      Iterator<String> oldest = suspicions.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    return suspicions.computeIfAbsent(fingerprint, key -> new Suspicion());
  }
}
