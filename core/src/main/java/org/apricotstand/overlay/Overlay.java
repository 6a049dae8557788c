package org.apricotstand.overlay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decides with which peers this instance keeps links for control state, and when a silent peer is
 * replaced by another one.
 *
 * <p>Up to {@link #MAX_MESH_INSTANCES} registered instances all connect to each other. In a larger
 * fleet an instance opens one link, to the relay of its failure domain; the relay opens one link to
 * the relay of each other domain, and one to the instance that would replace it, so that two relays
 * of one domain learn of each other. A peer answers on each link that was opened to it for as long
 * as it hears from there, so that instances that disagree on a relay still learn of each other.
 *
 * <pre>{@code
 * overlay.recordHeard(peer, nowMs);
 * List<String> silentPeers = overlay.update(nowMs);
 * overlay.neighbors().forEach((peer, neighbor) -> ...);
 * }</pre>
 */
public final class Overlay {

  /** Largest fleet in which every pair of instances is linked. */
  public static final int MAX_MESH_INSTANCES = 16;

  /** Time without a message after which a peer counts as silent. */
  public static final long SILENCE_TIMEOUT_MS = 1_500;

  /** Gap between two updates from which this instance counts as having been delayed itself. */
  private static final long OWN_DELAY_MS = 250;

  /** Time until a silent peer in a small fleet is tried again. */
  private static final long MESH_RETRY_MS = 1_000;

  private final OverlayInstance self;
  private final RelayElection election;
  private final Map<String, OverlayInstance> instances = new HashMap<>();
  private final Map<String, Uplink> uplinks = new HashMap<>();
  private final Map<String, Downlink> downlinks = new HashMap<>();
  private final Map<String, Long> meshRetryAtMs = new HashMap<>();
  private SortedMap<String, Neighbor> neighbors = Collections.emptySortedMap();
  private long lastUpdateMs = Long.MIN_VALUE;

  /** A link that this instance keeps open. */
  private record Uplink(LinkRole role, long silentFromMs, boolean heard) {}

  /** A link that the peer keeps open: until when it counts as a member, and as any neighbor. */
  private record Downlink(long memberUntilMs, long neighborUntilMs) {

    Downlink plus(long delayMs) {
      return new Downlink(memberUntilMs + delayMs, neighborUntilMs + delayMs);
    }

    boolean isMember(long nowMs) {
      return nowMs <= memberUntilMs;
    }
  }

  /** Creates the overlay of an instance that knows no other one. */
  public Overlay(OverlayInstance self) {
    this.self = self;
    this.election = new RelayElection(self.name());
    setInstances(List.of());
  }

  /** Sets the other registered instances. */
  public void setInstances(Collection<OverlayInstance> others) {
    instances.clear();
    others.forEach(instance -> instances.put(instance.name(), instance));
    List<OverlayInstance> all = new ArrayList<>(others);
    all.add(self);
    election.setInstances(all);
  }

  /** Sets the other instances of which some relay hears. */
  public void setLive(Set<String> names) {
    election.setLive(names);
  }

  /** Sets whether an instance, which may be this one, is shutting down. */
  public void setLeaving(String instance, boolean leaving) {
    election.setLeaving(instance, leaving);
  }

  /**
   * Records a message of a peer that keeps a link to this instance.
   *
   * @param isReport whether the peer reported to this instance as its relay
   */
  public void recordRequested(String peer, boolean isReport, long nowMs) {
    long untilMs = nowMs + SILENCE_TIMEOUT_MS;
    Downlink before = downlinks.get(peer);
    long memberBeforeMs = before == null ? nowMs - 1 : before.memberUntilMs;
    long memberUntilMs = isReport ? untilMs : memberBeforeMs;
    downlinks.put(peer, new Downlink(memberUntilMs, untilMs));
    recordHeard(peer, nowMs);
  }

  /** Records any message of a peer. */
  public void recordHeard(String peer, long nowMs) {
    uplinks.computeIfPresent(
        peer, (name, link) -> new Uplink(link.role, nowMs + SILENCE_TIMEOUT_MS, true));
    meshRetryAtMs.remove(peer);
  }

  /** Records that the link to a peer failed; a peer that never answered is replaced at once. */
  public void recordLinkFailure(String peer, long nowMs) {
    uplinks.computeIfPresent(
        peer, (name, link) -> link.heard ? link : new Uplink(link.role, nowMs, false));
  }

  /**
   * Chooses the neighbors again and returns the peers that turned silent, whose links are to be
   * closed. If this instance was delayed itself since the last update, all peers get that time in
   * addition, so that a slow instance takes nobody for dead.
   */
  public List<String> update(long nowMs) {
    excuseOwnDelay(nowMs);
    List<String> silentPeers = removeSilentUplinks(nowMs);
    downlinks.values().removeIf(link -> nowMs > link.neighborUntilMs);
    chooseUplinks(nowMs);
    Map<String, LinkRole> chosen = new HashMap<>();
    LinkRole otherRole = isMesh() ? LinkRole.PEER : LinkRole.REMOTE;
    downlinks.forEach(
        (peer, link) -> chosen.put(peer, link.isMember(nowMs) ? LinkRole.MEMBER : otherRole));
    uplinks.forEach((peer, link) -> chosen.merge(peer, link.role, Overlay::strongerRole));
    SortedMap<String, Neighbor> sorted = new TreeMap<>();
    chosen.forEach((peer, role) -> sorted.put(peer, new Neighbor(role, domainOf(peer))));
    neighbors = Collections.unmodifiableSortedMap(sorted);
    return silentPeers;
  }

  private String domainOf(String instance) {
    return instances.containsKey(instance) ? instances.get(instance).domain() : "";
  }

  private void excuseOwnDelay(long nowMs) {
    long gapMs = lastUpdateMs == Long.MIN_VALUE ? 0 : nowMs - lastUpdateMs;
    lastUpdateMs = nowMs;
    if (gapMs > OWN_DELAY_MS) {
      uplinks.replaceAll(
          (peer, link) -> new Uplink(link.role, link.silentFromMs + gapMs, link.heard));
      downlinks.replaceAll((peer, link) -> link.plus(gapMs));
    }
  }

  private List<String> removeSilentUplinks(long nowMs) {
    List<String> silentPeers = new ArrayList<>();
    for (Map.Entry<String, Uplink> entry : uplinks.entrySet()) {
      if (nowMs >= entry.getValue().silentFromMs) {
        silentPeers.add(entry.getKey());
      }
    }
    Collections.sort(silentPeers);
    for (String peer : silentPeers) {
      uplinks.remove(peer);
      election.suspect(peer, nowMs);
      meshRetryAtMs.put(peer, nowMs + MESH_RETRY_MS);
    }
    return silentPeers;
  }

  private void chooseUplinks(long nowMs) {
    Map<String, LinkRole> wanted = isMesh() ? meshPeers(nowMs) : relayPeers(nowMs);
    uplinks.keySet().retainAll(wanted.keySet());
    wanted.forEach(
        (peer, role) -> {
          Uplink before = uplinks.get(peer);
          if (before == null || before.role != role) {
            uplinks.put(peer, new Uplink(role, nowMs + SILENCE_TIMEOUT_MS, false));
          } else if (before.heard) {
            election.clearSuspicion(peer);
          }
        });
  }

  /** Returns whether the fleet is small enough for links between all instances. */
  public boolean isMesh() {
    return instances.size() < MAX_MESH_INSTANCES;
  }

  private Map<String, LinkRole> meshPeers(long nowMs) {
    Map<String, LinkRole> peers = new HashMap<>();
    instances.keySet().stream()
        .filter(peer -> nowMs >= meshRetryAtMs.getOrDefault(peer, Long.MIN_VALUE))
        .forEach(peer -> peers.put(peer, LinkRole.PEER));
    return peers;
  }

  private Map<String, LinkRole> relayPeers(long nowMs) {
    String ownRelay = election.relayOf(self.domain(), nowMs);
    if (!self.name().equals(ownRelay)) {
      return Map.of(ownRelay, LinkRole.RELAY);
    }
    Map<String, LinkRole> peers = new HashMap<>();
    Set<String> otherDomains = new HashSet<>(election.domains());
    otherDomains.remove(self.domain());
    otherDomains.forEach(domain -> peers.put(election.relayOf(domain, nowMs), LinkRole.REMOTE));
    String successor = election.relayBesidesSelf(self.domain(), nowMs);
    if (successor != null) {
      peers.put(successor, LinkRole.REMOTE);
    }
    return peers;
  }

  /** A member or the relay learns more than other neighbors. */
  private static LinkRole strongerRole(LinkRole first, LinkRole second) {
    return first.ordinal() <= second.ordinal() ? first : second;
  }

  /** Returns the peers to exchange state with, by name, as of the last update. */
  public SortedMap<String, Neighbor> neighbors() {
    return neighbors;
  }

  /** Returns whether this instance opened the link to the neighbor, and so has to keep it alive. */
  public boolean isUplink(String peer) {
    return uplinks.containsKey(peer);
  }

  /** Returns the instance that relays for this one; empty when it reports to nobody. */
  public Optional<String> relay() {
    for (Map.Entry<String, Uplink> entry : uplinks.entrySet()) {
      if (entry.getValue().role == LinkRole.RELAY) {
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }
}
