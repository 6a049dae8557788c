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
 * Tracks which instances and targets exist and which of them are live, from the settings, the
 * platform's list and heartbeats. Confined to the control thread.
 *
 * <pre>{@code
 * List<MembershipAction> actions = membership.handle(new MembershipEvent.Tick(), nowMs);
 * Set<InstanceId> live = membership.liveInstances("domain-a", nowMs);
 * }</pre>
 *
 * <p>An instance is usable when it has recently sent a heartbeat that echoes a recent heartbeat of
 * this instance. A link that works in only one direction therefore counts as broken on both sides.
 */
public final class Membership {

  /** Interval between two heartbeats on a link. */
  public static final long HEARTBEAT_INTERVAL_MS = 1_000;

  /** Time without an echoed heartbeat after which a monitored instance is not usable. */
  public static final long HEARTBEAT_TIMEOUT_MS = 3_500;

  private static final long MIN_POLL_INTERVAL_MS = 1_000;
  // A leaving target must get no new work 3,000 ms after it is listed; with a longer interval it
  // could be noticed too late.
  private static final long MAX_POLL_INTERVAL_MS = 2_000;
  private static final long POLL_INTERVAL_PER_INSTANCE_MS = 10;

  private final InstanceId self;
  private final long incarnation;
  private final Map<InstanceId, PeerState> peers = new TreeMap<>();
  private final Set<TargetId> leavingTargets = new TreeSet<>();
  private Map<InstanceId, Member> configuredInstances = Map.of();
  private Map<InstanceId, Member> listedInstances = Map.of();
  private Set<InstanceId> monitoredPeers = Set.of();

  /** State of another instance that is learned from its messages. */
  private static final class PeerState {
    private long incarnation;
    private boolean leaving;
    private long graceUntilMs = Long.MIN_VALUE;
    // Start of the period after which the link is closed if no heartbeat was echoed.
    private long silenceTimerStartMs;
    private long lastSentSequence;
    private long lastSentMs = Long.MIN_VALUE;
    private long lastReceivedSequence;
    private long usableUntilMs = Long.MIN_VALUE;
    private boolean linkClosed;
    private final Map<Long, Long> sentMsBySequence = new HashMap<>();
  }

  /** Creates a membership with this instance as the only one. */
  public Membership(InstanceId self, long incarnation) {
    this.self = self;
    this.incarnation = incarnation;
  }

  /**
   * Handles an event and returns the actions to perform.
   *
   * @param nowMs monotonic time
   */
  public List<MembershipAction> handle(MembershipEvent event, long nowMs) {
    List<MembershipAction> actions = new ArrayList<>();
    switch (event) {
      case MembershipEvent.InstancesConfigured configured ->
          configuredInstances = byName(configured.members());
      case MembershipEvent.InstanceListRead list -> onInstanceListRead(list.members());
      case MembershipEvent.HelloReceived hello -> onHello(hello, nowMs);
      case MembershipEvent.HeartbeatReceived heartbeat -> onHeartbeat(heartbeat, nowMs);
      case MembershipEvent.LinkClosed closed -> onLinkClosed(closed.peer());
      case MembershipEvent.MonitoredPeersChanged changed ->
          onMonitoredPeersChanged(changed.peers(), nowMs);
      case MembershipEvent.Tick tick -> onTick(nowMs, actions);
    }
    return actions;
  }

  /** Returns the known instances of a domain, each with the greatest incarnation seen. */
  public Map<InstanceId, Long> instances(String domain) {
    Map<InstanceId, Long> known = new TreeMap<>();
    known.put(self, incarnation);
    configuredInstances.values().stream()
        .filter(member -> member.domain().equals(domain))
        .forEach(member -> known.merge(idOf(member), member.incarnation(), Math::max));
    listedInstances.values().stream()
        .filter(member -> member.domain().equals(domain))
        .forEach(member -> known.merge(idOf(member), member.incarnation(), Math::max));
    peers.forEach(
        (name, peer) ->
            known.computeIfPresent(name, (key, value) -> Math.max(value, peer.incarnation)));
    return known;
  }

  /** Returns the instances of a domain that are known to be neither silent nor leaving. */
  public Set<InstanceId> liveInstances(String domain, long nowMs) {
    Set<InstanceId> live = new TreeSet<>(instances(domain).keySet());
    live.removeIf(name -> !name.equals(self) && !isLive(name, nowMs));
    return live;
  }

  /** Returns whether requests may be sent to an instance. */
  public boolean isUsable(InstanceId name, long nowMs) {
    return name.equals(self) || isResponsive(name, nowMs);
  }

  /** Returns the monitored instances that are silent or whose link is closed. */
  public Set<InstanceId> unusablePeers(long nowMs) {
    Set<InstanceId> unusable = new TreeSet<>(monitoredPeers);
    unusable.removeIf(name -> isResponsive(name, nowMs));
    return unusable;
  }

  /** Returns whether the platform lists a target as leaving. */
  public boolean isLeaving(TargetId target) {
    return leavingTargets.contains(target);
  }

  /** Returns the address of the peer link of an instance. */
  public Optional<String> addressOf(InstanceId name) {
    return Optional.ofNullable(listedInstances.getOrDefault(name, configuredInstances.get(name)))
        .map(Member::address);
  }

  /** Returns the number of instances, for rates and shares that are divided among them. */
  public int instanceCount() {
    Set<InstanceId> all = new TreeSet<>(configuredInstances.keySet());
    all.addAll(listedInstances.keySet());
    all.add(self);
    return all.size();
  }

  /** Returns the interval between two reads of the instance list. */
  public long pollIntervalMs() {
    return Math.min(
        MAX_POLL_INTERVAL_MS,
        Math.max(MIN_POLL_INTERVAL_MS, POLL_INTERVAL_PER_INSTANCE_MS * instanceCount()));
  }

  /** Returns whether a newer incarnation of the instance than the given one has been seen. */
  public boolean isStaleIncarnation(InstanceId name, long messageIncarnation) {
    PeerState peer = peers.get(name);
    return peer != null && peer.incarnation > messageIncarnation;
  }

  private boolean isLive(InstanceId name, long nowMs) {
    Member member = listedInstances.get(name);
    PeerState peer = peers.get(name);
    boolean isListedAsLeaving = member != null && member.leaving() && !isNewerProcess(peer, member);
    return !isListedAsLeaving && (peer == null || !peer.leaving) && isResponsive(name, nowMs);
  }

  private static boolean isNewerProcess(PeerState peer, Member member) {
    return peer != null && peer.incarnation > member.incarnation();
  }

  /** Returns whether heartbeats arrive; always true for an instance that is not monitored. */
  private boolean isResponsive(InstanceId name, long nowMs) {
    PeerState peer = peers.get(name);
    if (peer == null || !monitoredPeers.contains(name)) {
      return true;
    }
    if (peer.linkClosed) {
      return false;
    }
    return nowMs < peer.graceUntilMs || nowMs < peer.usableUntilMs;
  }

  private void onInstanceListRead(List<Member> members) {
    listedInstances = byName(members.stream().filter(Member::isInstance).toList());
    leavingTargets.clear();
    members.stream()
        .filter(member -> !member.isInstance() && member.leaving())
        .forEach(member -> leavingTargets.add(new TargetId(member.name())));
    listedInstances.forEach(
        (name, member) -> {
          if (!name.equals(self)) {
            updateIncarnation(peerState(name), member.incarnation());
          }
        });
  }

  private void onHello(MembershipEvent.HelloReceived hello, long nowMs) {
    if (hello.from().equals(self)) {
      return;
    }
    PeerState peer = peerState(hello.from());
    updateIncarnation(peer, hello.incarnation());
    if (hello.incarnation() == peer.incarnation && peer.linkClosed) {
      // The instance gets no grace period, since a hello also arrives over a link that works in
      // only one direction.
      peer.linkClosed = false;
      peer.silenceTimerStartMs = nowMs;
    }
  }

  /** Resets the state of a peer if its process has been replaced by a newer one. */
  private static void updateIncarnation(PeerState peer, long newIncarnation) {
    if (newIncarnation > peer.incarnation) {
      peer.incarnation = newIncarnation;
      peer.leaving = false;
      peer.lastReceivedSequence = 0;
      peer.usableUntilMs = Long.MIN_VALUE;
    }
  }

  private void onHeartbeat(MembershipEvent.HeartbeatReceived heartbeat, long nowMs) {
    PeerState peer = peerState(heartbeat.from());
    peer.leaving = heartbeat.leaving();
    peer.lastReceivedSequence = Math.max(peer.lastReceivedSequence, heartbeat.sequence());
    Long sentMs = peer.sentMsBySequence.get(heartbeat.echoed());
    if (sentMs != null) {
      peer.usableUntilMs = Math.max(peer.usableUntilMs, sentMs + HEARTBEAT_TIMEOUT_MS);
      peer.sentMsBySequence.keySet().removeIf(sequence -> sequence < heartbeat.echoed());
    }
  }

  private void onLinkClosed(InstanceId name) {
    PeerState peer = peerState(name);
    peer.linkClosed = true;
    peer.graceUntilMs = Long.MIN_VALUE;
    peer.usableUntilMs = Long.MIN_VALUE;
    peer.lastReceivedSequence = 0;
  }

  private void onMonitoredPeersChanged(Set<InstanceId> newPeers, long nowMs) {
    newPeers.stream()
        .filter(name -> !monitoredPeers.contains(name))
        .forEach(
            name -> {
              peerState(name).graceUntilMs = nowMs + HEARTBEAT_TIMEOUT_MS;
              peerState(name).silenceTimerStartMs = nowMs;
            });
    monitoredPeers = Set.copyOf(newPeers);
  }

  private void onTick(long nowMs, List<MembershipAction> actions) {
    for (InstanceId name : monitoredPeers) {
      PeerState peer = peerState(name);
      boolean isSilent =
          nowMs - peer.silenceTimerStartMs >= 2 * HEARTBEAT_TIMEOUT_MS
              && nowMs - HEARTBEAT_TIMEOUT_MS >= peer.usableUntilMs;
      if (isSilent) {
        actions.add(new MembershipAction.CloseLink(name));
        peer.silenceTimerStartMs = nowMs;
      } else if (peer.lastSentMs == Long.MIN_VALUE
          || nowMs - peer.lastSentMs >= HEARTBEAT_INTERVAL_MS) {
        peer.lastSentMs = nowMs;
        peer.lastSentSequence++;
        peer.sentMsBySequence.put(peer.lastSentSequence, nowMs);
        peer.sentMsBySequence.keySet().removeIf(sequence -> sequence < peer.lastSentSequence - 16);
        actions.add(
            new MembershipAction.SendHeartbeat(
                name, peer.lastSentSequence, peer.lastReceivedSequence));
      }
    }
  }

  private PeerState peerState(InstanceId name) {
    return peers.computeIfAbsent(name, key -> new PeerState());
  }

  private static InstanceId idOf(Member member) {
    return new InstanceId(member.name());
  }

  private static Map<InstanceId, Member> byName(List<Member> members) {
    Map<InstanceId, Member> membersByName = new TreeMap<>();
    members.forEach(member -> membersByName.put(idOf(member), member));
    return membersByName;
  }
}
