package org.apricotstand.overlay;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.placement.Rendezvous;

/**
 * Chooses the relay of each failure domain without messages: all instances rank the registered
 * instances of a domain alike and take the first one that they do not suspect. Instances may
 * disagree for a while; the overlay tolerates several relays in one domain.
 *
 * <pre>{@code
 * election.setInstances(registered);
 * String relay = election.relayOf("a", nowMs);
 * }</pre>
 */
final class RelayElection {

  /** Suspicion after the first failure; it doubles with each further one. */
  static final long MIN_SUSPICION_MS = 3_000;

  static final long MAX_SUSPICION_MS = 40_000;

  private final String self;
  private final Map<String, List<String>> rankedByDomain = new HashMap<>();
  private final Map<String, Suspicion> suspicions = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private Set<String> live = Set.of();

  private record Suspicion(long untilMs, long nextLengthMs) {}

  RelayElection(String self) {
    this.self = self;
  }

  /** Sets the registered instances, including this one. */
  void setInstances(Collection<OverlayInstance> instances) {
    rankedByDomain.clear();
    instances.stream()
        .collect(Collectors.groupingBy(OverlayInstance::domain))
        .forEach((domain, members) -> rankedByDomain.put(domain, rank(domain, members)));
    Set<String> names =
        instances.stream().map(OverlayInstance::name).collect(Collectors.toUnmodifiableSet());
    suspicions.keySet().retainAll(names);
  }

  /** Ranks by declared capacity, then by a hash, so that the smallest machines relay last. */
  private static List<String> rank(String domain, List<OverlayInstance> members) {
    return Rendezvous.rank(domain, members, OverlayInstance::name).stream()
        .sorted(Comparator.comparingInt(OverlayInstance::relayCapacity).reversed())
        .map(OverlayInstance::name)
        .toList();
  }

  /** Sets whether an instance is shutting down and must not become a relay. */
  void setLeaving(String instance, boolean isLeaving) {
    if (isLeaving) {
      leaving.add(instance);
    } else {
      leaving.remove(instance);
    }
  }

  /** Sets the instances of which some relay hears. */
  void setLive(Set<String> instances) {
    live = Set.copyOf(instances);
  }

  /**
   * Passes over an instance because it did not answer, for a while and then until some relay hears
   * of it, so that a dead instance is not tried again and again.
   */
  void suspect(String instance, long nowMs) {
    Suspicion before = suspicions.get(instance);
    long lengthMs = before == null ? MIN_SUSPICION_MS : before.nextLengthMs;
    suspicions.put(
        instance, new Suspicion(nowMs + lengthMs, Math.min(MAX_SUSPICION_MS, 2 * lengthMs)));
  }

  /** Forgets the failures of an instance that answered. */
  void clearSuspicion(String instance) {
    suspicions.remove(instance);
  }

  Set<String> domains() {
    return rankedByDomain.keySet();
  }

  /**
   * Returns the relay of a failure domain, which may be this instance; null when the domain has no
   * registered instance. When all are suspected, the one whose suspicion ends first is tried again.
   */
  String relayOf(String domain, long nowMs) {
    return firstOf(rankedByDomain.getOrDefault(domain, List.of()), nowMs);
  }

  /** Returns the relay that a domain would have without this instance; null when there is none. */
  String relayBesidesSelf(String domain, long nowMs) {
    List<String> others =
        rankedByDomain.getOrDefault(domain, List.of()).stream()
            .filter(name -> !name.equals(self))
            .toList();
    return firstOf(others, nowMs);
  }

  private String firstOf(List<String> ranked, long nowMs) {
    for (String name : ranked) {
      if (!isPassedOver(name, nowMs)) {
        return name;
      }
    }
    return leastSuspected(ranked);
  }

  private boolean isPassedOver(String name, long nowMs) {
    Suspicion suspicion = suspicions.get(name);
    boolean suspected = suspicion != null && (nowMs < suspicion.untilMs || !live.contains(name));
    return leaving.contains(name) || (suspected && !name.equals(self));
  }

  private String leastSuspected(List<String> ranked) {
    return ranked.stream()
        .min(
            Comparator.comparingLong(
                name -> suspicions.containsKey(name) ? suspicions.get(name).untilMs : 0))
        .orElse(null);
  }
}
