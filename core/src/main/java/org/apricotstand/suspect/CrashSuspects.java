package org.apricotstand.suspect;

import static java.util.Comparator.comparingDouble;
import static java.util.Comparator.comparingLong;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds out which trait of requests crashes targets, and refuses further requests that have it.
 *
 * <p>At each crash, the traits of the requests that the target had not begun to answer are
 * suspected. An answer clears the traits of its request, because a trait that crashes targets lets
 * none of its requests be answered. Of several traits that explain the same crashes only one is
 * refused: the one without an answer for the longest time. Each instance records what it sees and
 * what other instances report.
 *
 * <pre>{@code
 * suspects.recordCrash(target.incarnation(), Map.of(trait, 1), nowMs);
 * if (suspects.findRefused(traits, nowMs).isPresent()) { ... }
 * }</pre>
 */
public final class CrashSuspects {

  /** How long a crash counts against a trait, and how long a trait is refused at first. */
  static final long CRASH_RETENTION_MS = 120_000;

  /** Maximum time for which a trait is refused that has crashed targets again and again. */
  static final long MAX_REFUSAL_MS = 3_600_000;

  /**
   * Maximum number of suspected and of refused traits, to limit memory; beyond it the oldest goes.
   */
  static final int MAX_SUSPECTED = 2_000;

  /** Maximum number of traits whose last answer is remembered. */
  static final int MAX_ANSWERED = 4_000;

  /**
   * Crashes within this time count once against a trait that many requests share: targets that fail
   * together, as those of one rack do, have a cause of their own. Instances notice such crashes
   * some tens of milliseconds apart.
   */
  public static final long MOMENT_MS = 100;

  /**
   * Time without an answer after which a trait may be refused that was answered before. The reports
   * of one crash arrive one after the other; until that with the cause is there, what many requests
   * share looks like the cause.
   */
  static final long SILENCE_MS = 5_000;

  // A harmless request may be running at one crash by chance, but rarely at two.
  private static final int CRASHES_OF_REQUEST = 2;

  // A trait that many requests share is more often among the unanswered ones by chance.
  private static final int CRASHES_OF_SHARED_TRAIT = 3;

  private final Map<Trait, Suspicion> suspicions = new LinkedHashMap<>();
  private final Map<Trait, Refusal> refusals = boundedMap(MAX_SUSPECTED);
  private final Map<Trait, Long> answeredMs = boundedMap(MAX_ANSWERED);
  private final Map<String, Long> momentMsByTarget = boundedMap(MAX_SUSPECTED);
  private long lastMomentMs = -MOMENT_MS;
  private int suspicionCount;

  /**
   * Crashes that a trait may have caused.
   *
   * @param number increases with each suspicion
   * @param requestsByTarget unanswered requests with the trait, by incarnation of a crashed target
   */
  private record Suspicion(int number, Map<String, Integer> requestsByTarget, long untilMs) {

    long lastCrashMs() {
      return untilMs - CRASH_RETENTION_MS;
    }

    double meanRequests() {
      return requestsByTarget.values().stream().mapToInt(Integer::intValue).average().orElse(0);
    }
  }

  /**
   * Period in which a trait is refused. For as long again after it, one further crash is enough to
   * refuse the trait for twice the time.
   */
  private record Refusal(long startMs, long untilMs) {

    long durationMs() {
      return untilMs - startMs;
    }

    boolean isRelapse(long nowMs) {
      return nowMs >= untilMs && nowMs < untilMs + durationMs();
    }

    boolean isForgotten(long nowMs) {
      return nowMs >= untilMs + durationMs();
    }
  }

  private static <K, V> Map<K, V> boundedMap(int maxEntries) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
      }
    };
  }

  /**
   * Records a crash of a target.
   *
   * @param target incarnation of the target
   * @param requestsByTrait number of requests that the target had not begun to answer, by trait; of
   *     the parts of a prompt, later ones come later
   * @return traits that are refused from now on
   */
  public Set<Trait> recordCrash(String target, Map<Trait, Integer> requestsByTrait, long nowMs) {
    removeExpired(nowMs);
    momentMsByTarget.computeIfAbsent(target, key -> momentAt(nowMs));
    requestsByTrait.forEach((trait, requests) -> suspect(trait, target, requests, nowMs));
    return refuseCauses(trait -> true, nowMs);
  }

  /** Returns the start of the moment to which a crash that is noticed now belongs. */
  private long momentAt(long nowMs) {
    if (nowMs - lastMomentMs >= MOMENT_MS) {
      lastMomentMs = nowMs;
    }
    return lastMomentMs;
  }

  private void suspect(Trait trait, String target, int requests, long nowMs) {
    Suspicion known = suspicions.remove(trait);
    Map<String, Integer> requestsByTarget = new HashMap<>();
    int number = known == null ? suspicionCount++ : known.number;
    if (known != null) {
      requestsByTarget.putAll(known.requestsByTarget);
    }
    requestsByTarget.merge(target, requests, Integer::sum);
    suspicions.put(trait, new Suspicion(number, requestsByTarget, nowMs + CRASH_RETENTION_MS));
    if (suspicions.size() > MAX_SUSPECTED) {
      suspicions.remove(suspicions.keySet().iterator().next());
    }
  }

  private void removeExpired(long nowMs) {
    refusals.values().removeIf(refusal -> refusal.isForgotten(nowMs));
    suspicions.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), nowMs));
  }

  /** Returns whether a suspicion is too old, or has led to a refusal that has ended. */
  private boolean isExpired(Trait trait, Suspicion suspicion, long nowMs) {
    Refusal refusal = refusals.get(trait);
    boolean isSettled =
        refusal != null && nowMs >= refusal.untilMs && suspicion.lastCrashMs() < refusal.untilMs;
    return isSettled || nowMs >= suspicion.untilMs();
  }

  /**
   * Refuses the most likely cause of the crashes that no refused trait explains, until none is left
   * among the traits to which the filter applies.
   */
  private Set<Trait> refuseCauses(Predicate<Trait> filter, long nowMs) {
    Explanations explanations = new Explanations();
    suspicions.entrySet().stream()
        .filter(entry -> isRefused(entry.getKey(), nowMs))
        .forEach(entry -> explanations.add(entry.getKey(), entry.getValue()));
    Set<Trait> refused = new HashSet<>();
    for (Trait trait : possibleCauses(nowMs).stream().filter(filter).toList()) {
      Suspicion suspicion = suspicions.get(trait);
      Set<String> unexplained = explanations.unexplained(trait, suspicion);
      if (countCrashes(trait, unexplained) >= crashesUntilRefusal(trait, nowMs)) {
        refuse(trait, nowMs);
        refused.add(trait);
        explanations.add(trait, suspicion);
      }
    }
    return refused;
  }

  /** Crashes that refused traits explain. */
  private static final class Explanations {

    private final Set<String> bySharedTraits = new HashSet<>();
    private final Set<Set<String>> byRequests = new HashSet<>();

    void add(Trait cause, Suspicion suspicion) {
      Set<String> targets = suspicion.requestsByTarget.keySet();
      if (cause instanceof Trait.WholeRequest) {
        byRequests.add(targets);
      } else {
        bySharedTraits.addAll(targets);
      }
    }

    /**
     * Returns the crashes that speak against a trait. A shared trait has none if a single request
     * was at all of them; several requests more likely have a trait in common.
     */
    Set<String> unexplained(Trait trait, Suspicion suspicion) {
      Set<String> targets = new HashSet<>(suspicion.requestsByTarget.keySet());
      targets.removeAll(bySharedTraits);
      boolean isRequest = trait instanceof Trait.WholeRequest;
      boolean hasOneRequest =
          byRequests.stream().anyMatch(explained -> explained.containsAll(targets));
      return !isRequest && hasOneRequest ? Set.of() : targets;
    }
  }

  /** Returns the traits that have been at enough crashes, the most likely cause first. */
  private List<Trait> possibleCauses(long nowMs) {
    Comparator<Map.Entry<Trait, Suspicion>> mostLikelyFirst =
        comparingLong(entry -> answeredMs.getOrDefault(entry.getKey(), Long.MIN_VALUE));
    return suspicions.entrySet().stream()
        .filter(entry -> !isRefused(entry.getKey(), nowMs))
        .filter(entry -> isSilent(entry.getKey(), nowMs))
        .filter(entry -> isAtEnoughCrashes(entry.getKey(), nowMs))
        .sorted(
            mostLikelyFirst
                .thenComparing(comparingDouble(entry -> entry.getValue().meanRequests()))
                .thenComparing(comparingLong(entry -> -entry.getValue().number())))
        .map(Map.Entry::getKey)
        .toList();
  }

  private boolean isSilent(Trait trait, long nowMs) {
    Long lastAnswerMs = answeredMs.get(trait);
    return lastAnswerMs == null || nowMs - lastAnswerMs >= SILENCE_MS;
  }

  private boolean isAtEnoughCrashes(Trait trait, long nowMs) {
    Set<String> targets = suspicions.get(trait).requestsByTarget.keySet();
    return countCrashes(trait, targets) >= crashesUntilRefusal(trait, nowMs);
  }

  private long countCrashes(Trait trait, Set<String> targets) {
    return switch (trait) {
      case Trait.WholeRequest request -> targets.size();
      case Trait.PromptPart part -> countMoments(targets);
      case Trait.Adapter adapter -> countMoments(targets);
    };
  }

  private long countMoments(Set<String> targets) {
    return targets.stream().map(momentMsByTarget::get).distinct().count();
  }

  private int crashesUntilRefusal(Trait trait, long nowMs) {
    Refusal last = refusals.get(trait);
    if (last != null && last.isRelapse(nowMs)) {
      return 1;
    }
    return trait instanceof Trait.WholeRequest ? CRASHES_OF_REQUEST : CRASHES_OF_SHARED_TRAIT;
  }

  private void refuse(Trait trait, long nowMs) {
    Refusal last = refusals.get(trait);
    long durationMs =
        last == null ? CRASH_RETENTION_MS : Math.min(2 * last.durationMs(), MAX_REFUSAL_MS);
    refusals.put(trait, new Refusal(nowMs, nowMs + durationMs));
  }

  /** How the refusal of a trait by another instance agrees with what this instance knows. */
  public enum RefusalReport {
    /** The trait is refused from now on. */
    ACCEPTED,
    /** The trait was refused already. */
    KNOWN,
    /** The refusal has ended. */
    ENDED,
    /** The trait was answered a moment ago, so it is not refused. */
    CONTRADICTED
  }

  /**
   * Records that another instance refuses a trait. An instance that has just started knows the
   * crashes only from others and cannot tell how far apart they were. A refusal may arrive after
   * the answer that has ended it at the other instance.
   */
  public RefusalReport recordRefusal(Trait trait, long untilMs, long nowMs) {
    if (untilMs <= nowMs) {
      return RefusalReport.ENDED;
    }
    if (isRefused(trait, nowMs)) {
      return RefusalReport.KNOWN;
    }
    if (!isSilent(trait, nowMs)) {
      return RefusalReport.CONTRADICTED;
    }
    refusals.put(trait, new Refusal(nowMs, Math.min(untilMs, nowMs + MAX_REFUSAL_MS)));
    return RefusalReport.ACCEPTED;
  }

  /** Returns the time until which a trait is refused; empty if it is not refused now. */
  public OptionalLong refusedUntilMs(Trait trait, long nowMs) {
    return isRefused(trait, nowMs)
        ? OptionalLong.of(refusals.get(trait).untilMs)
        : OptionalLong.empty();
  }

  /**
   * Records that a target has answered a request with this trait and has not crashed.
   *
   * @return whether the trait was suspected so strongly that other instances need to know of the
   *     answer
   */
  public boolean recordAnswer(Trait trait, long nowMs) {
    answeredMs.put(trait, nowMs);
    Suspicion suspicion = suspicions.remove(trait);
    boolean wasRefused = refusals.remove(trait) != null;
    return wasRefused || (suspicion != null && suspicion.requestsByTarget.size() > 1);
  }

  /**
   * Refuses the whole requests that explain crashes, after an answer has ended the refusal that
   * explained them so far. Other shared traits wait for the next crash: their answers may be on
   * their way.
   *
   * @return requests that are refused from now on
   */
  public Set<Trait> refuseRequests(long nowMs) {
    removeExpired(nowMs);
    return refuseCauses(trait -> trait instanceof Trait.WholeRequest, nowMs);
  }

  /** Returns a trait for which a request with these traits is refused. */
  public Optional<Trait> findRefused(Collection<Trait> traits, long nowMs) {
    return traits.stream().filter(trait -> isRefused(trait, nowMs)).findFirst();
  }

  private boolean isRefused(Trait trait, long nowMs) {
    Refusal refusal = refusals.get(trait);
    return refusal != null && nowMs < refusal.untilMs;
  }

  /** Returns whether one of the traits may be the cause of a crash. */
  public boolean isSuspected(Collection<Trait> traits, long nowMs) {
    return traits.stream()
        .anyMatch(
            trait -> {
              Suspicion suspicion = suspicions.get(trait);
              return suspicion != null && !isExpired(trait, suspicion, nowMs);
            });
  }

  /** Returns whether any trait is or was refused; if not, none needs to be looked up. */
  public boolean hasRefusals() {
    return !refusals.isEmpty();
  }

  /** Returns whether no trait is suspected or refused. */
  public boolean isEmpty() {
    return suspicions.isEmpty() && refusals.isEmpty();
  }
}
