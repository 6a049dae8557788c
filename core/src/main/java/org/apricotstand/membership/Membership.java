package org.apricotstand.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apricotstand.membership.MembershipEvent.Member;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Keeps which instances and targets live, from the settings, the platform's list and heartbeats.
 * Confined to the control thread.
 *
 * <pre>{@code
 * List<MembershipAction> actions = membership.handle(new MembershipEvent.Tick(), nowMs);
 * Set<InstanceId> live = membership.live("domain-a");
 * }</pre>
 *
 * <p>An instance is usable when a recent heartbeat of it echoes a recent heartbeat of this one. A
 * link that works in one direction only thus counts as broken on both sides.
 */
public final class Membership {

  /** Pause between two heartbeats on a link. */
  public static final long HEARTBEAT_MS = 1_000;

  /** A watched instance without an echoed heartbeat for this long is not usable. */
  public static final long SILENT_MS = 3_500;

  private static final long MIN_POLL_MS = 1_000;
  // Longer polls could miss the 3,000 ms after which a leaving target gets no new work.
  private static final long MAX_POLL_MS = 2_000;
  private static final long POLL_MS_PER_INSTANCE = 10;

  private final InstanceId self;
  private final long incarnation;
  private final Map<InstanceId, Peer> peers = new TreeMap<>();
  private final Set<TargetId> leavingTargets = new TreeSet<>();
  private Map<InstanceId, Member> configured = Map.of();
  private Map<InstanceId, Member> listed = Map.of();
  private Set<InstanceId> watched = Set.of();

  /** What is known of another instance beyond the lists. */
  private static final class Peer {
    private long incarnation;
    private boolean leaving;
    private long graceUntilMs = Long.MIN_VALUE;
    private long linkSinceMs;
    private long sequence;
    private long sentMs = Long.MIN_VALUE;
    private long received;
    private long usableUntilMs = Long.MIN_VALUE;
    private boolean closed;
    private final Map<Long, Long> sentMsBySequence = new HashMap<>();
  }

  /** Creates a membership that knows only this instance. */
  public Membership(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Applies an event and returns what has to be done for it.
   *
   * @param nowMs monotonic time
   */
  public List<MembershipAction> handle(MembershipEvent event, long nowMs) {
    List<MembershipAction> actions = new ArrayList<>();
    switch (event) {
      case MembershipEvent.Configured settings -> configured = byName(settings.members());
      case MembershipEvent.ListRead list -> listRead(list.members());
      case MembershipEvent.Greeted hello -> greeted(hello, nowMs);
      case MembershipEvent.HeartbeatReceived heartbeat -> heard(heartbeat, nowMs);
      case MembershipEvent.LinkClosed closed -> closed(closed.peer());
      case MembershipEvent.Watched wanted -> watch(wanted.peers(), nowMs);
      case MembershipEvent.Tick tick -> beat(nowMs, actions);
    }
    return actions;
  }

  /** Returns the known instances of a domain with the greatest incarnation seen of each. */
  public Map<InstanceId, Long> instances(String domain) {
    Map<InstanceId, Long> known = new TreeMap<>();
    known.put(self, incarnation);
    configured.values().stream()
        .filter(member -> member.domain().equals(domain))
        .forEach(member -> known.merge(id(member), member.incarnation(), Math::max));
    listed.values().stream()
        .filter(member -> member.domain().equals(domain))
        .forEach(member -> known.merge(id(member), member.incarnation(), Math::max));
    peers.forEach(
        (name, peer) ->
            known.computeIfPresent(name, (key, value) -> Math.max(value, peer.incarnation)));
    return known;
  }

  /** Returns the instances of a domain that are not known to be silent or leaving. */
  public Set<InstanceId> live(String domain, long nowMs) {
    Set<InstanceId> live = new TreeSet<>(instances(domain).keySet());
    live.removeIf(name -> !name.equals(self) && !isLive(name, nowMs));
    return live;
  }

  /** Returns whether requests may be sent to an instance. */
  public boolean isUsable(InstanceId name, long nowMs) {
    return name.equals(self) || isHeard(name, nowMs);
  }

  /** Returns the watched instances that are silent or whose link is closed. */
  public Set<InstanceId> unusable(long nowMs) {
    Set<InstanceId> unusable = new TreeSet<>(watched);
    unusable.removeIf(name -> isHeard(name, nowMs));
    return unusable;
  }

  /** Returns whether the platform lists a target as leaving. */
  public boolean isLeaving(TargetId target) {
    return leavingTargets.contains(target);
  }

  /** Returns the address of the peer link of an instance. */
  public Optional<String> addressOf(InstanceId name) {
    return Optional.ofNullable(listed.getOrDefault(name, configured.get(name)))
        .map(Member::address);
  }

  /** Returns the number of instances, for rates and shares that are divided among them. */
  public int count() {
    Set<InstanceId> all = new TreeSet<>(configured.keySet());
    all.addAll(listed.keySet());
    all.add(self);
    return all.size();
  }

  /** Returns the pause between two reads of the instance list. */
  public long pollMs() {
    return Math.min(MAX_POLL_MS, Math.max(MIN_POLL_MS, POLL_MS_PER_INSTANCE * count()));
  }

  /** Returns whether a message of the given incarnation is from a process that was replaced. */
  public boolean isReplaced(InstanceId name, long itsIncarnation) {
    Peer peer = peers.get(name);
    return peer != null && peer.incarnation > itsIncarnation;
  }

  private boolean isLive(InstanceId name, long nowMs) {
    Member member = listed.get(name);
    Peer peer = peers.get(name);
    boolean leaving = member != null && member.leaving() && !isNewer(peer, member);
    return !leaving && (peer == null || !peer.leaving) && isHeard(name, nowMs);
  }

  private static boolean isNewer(Peer peer, Member member) {
    return peer != null && peer.incarnation > member.incarnation();
  }

  /** An instance that is not watched counts as heard: nothing is known against it. */
  private boolean isHeard(InstanceId name, long nowMs) {
    Peer peer = peers.get(name);
    if (peer == null || !watched.contains(name)) {
      return true;
    }
    if (peer.closed) {
      return false;
    }
    return nowMs < peer.graceUntilMs || nowMs < peer.usableUntilMs;
  }

  private void listRead(List<Member> members) {
    listed = byName(members.stream().filter(Member::isInstance).toList());
    leavingTargets.clear();
    members.stream()
        .filter(member -> !member.isInstance() && member.leaving())
        .forEach(member -> leavingTargets.add(new TargetId(member.name())));
    listed.forEach(
        (name, member) -> {
          if (!name.equals(self)) {
            renew(peer(name), member.incarnation());
          }
        });
  }

  private void greeted(MembershipEvent.Greeted hello, long nowMs) {
    if (hello.from().equals(self)) {
      return;
    }
    Peer peer = peer(hello.from());
    renew(peer, hello.incarnation());
    if (hello.incarnation() == peer.incarnation && peer.closed) {
      // No grace: a link that works in one direction only also delivers a greeting.
      peer.closed = false;
      peer.linkSinceMs = nowMs;
    }
  }

  /** Forgets what was known of the replaced process. */
  private static void renew(Peer peer, long newIncarnation) {
    if (newIncarnation > peer.incarnation) {
      peer.incarnation = newIncarnation;
      peer.leaving = false;
      peer.received = 0;
      peer.usableUntilMs = Long.MIN_VALUE;
    }
  }

  private void heard(MembershipEvent.HeartbeatReceived heartbeat, long nowMs) {
    Peer peer = peer(heartbeat.from());
    peer.leaving = heartbeat.leaving();
    peer.received = Math.max(peer.received, heartbeat.sequence());
    Long sentMs = peer.sentMsBySequence.get(heartbeat.echoed());
    if (sentMs != null) {
      peer.usableUntilMs = Math.max(peer.usableUntilMs, sentMs + SILENT_MS);
      peer.sentMsBySequence.keySet().removeIf(sequence -> sequence < heartbeat.echoed());
    }
  }

  private void closed(InstanceId name) {
    Peer peer = peer(name);
    peer.closed = true;
    peer.graceUntilMs = Long.MIN_VALUE;
    peer.usableUntilMs = Long.MIN_VALUE;
    peer.received = 0;
  }

  private void watch(Set<InstanceId> wanted, long nowMs) {
    wanted.stream()
        .filter(name -> !watched.contains(name))
        .forEach(
            name -> {
              peer(name).graceUntilMs = nowMs + SILENT_MS;
              peer(name).linkSinceMs = nowMs;
            });
    watched = Set.copyOf(wanted);
  }

  private void beat(long nowMs, List<MembershipAction> actions) {
    for (InstanceId name : watched) {
      Peer peer = peer(name);
      boolean silent =
          nowMs - peer.linkSinceMs >= 2 * SILENT_MS && nowMs - SILENT_MS >= peer.usableUntilMs;
      if (silent) {
        actions.add(new MembershipAction.CloseLink(name));
        peer.linkSinceMs = nowMs;
      } else if (peer.sentMs == Long.MIN_VALUE || nowMs - peer.sentMs >= HEARTBEAT_MS) {
        peer.sentMs = nowMs;
        peer.sequence++;
        peer.sentMsBySequence.put(peer.sequence, nowMs);
        peer.sentMsBySequence.keySet().removeIf(sequence -> sequence < peer.sequence - 16);
        actions.add(new MembershipAction.SendHeartbeat(name, peer.sequence, peer.received));
      }
    }
  }

  private Peer peer(InstanceId name) {
    return peers.computeIfAbsent(name, key -> new Peer());
  }

  private static InstanceId id(Member member) {
    return new InstanceId(member.name());
  }

  private static Map<InstanceId, Member> byName(List<Member> members) {
    Map<InstanceId, Member> byName = new TreeMap<>();
    members.forEach(member -> byName.put(id(member), member));
    return byName;
  }
}
