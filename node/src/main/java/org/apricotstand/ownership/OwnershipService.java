package org.apricotstand.ownership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.kernel.Service;
import org.apricotstand.lease.OwnershipAction;
import org.apricotstand.lease.OwnershipEvent;
import org.apricotstand.lease.OwnershipMachine;
import org.apricotstand.lease.Rights;
import org.apricotstand.membership.Membership;
import org.apricotstand.membership.MembershipAction;
import org.apricotstand.membership.MembershipEvent;
import org.apricotstand.membership.MembershipEvent.Member;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Result;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.owner.Ownership;
import org.apricotstand.owner.OwnershipListener;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.placement.Rendezvous;
import org.apricotstand.platform.InstanceList;
import org.apricotstand.platform.InstanceList.ListEntry;
import org.apricotstand.platform.TableService;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.InstanceSettings.Peer;

/**
 * Runs the membership and the ownership machine on the control thread, and tells any thread who
 * owns an engine and what this instance may do with it.
 *
 * <pre>{@code
 * ownership.setListener(listener);
 * if (ownership.mayDispatch(target)) {
 *   // send, with ownership.fencingOf(target)
 * }
 * }</pre>
 */
public final class OwnershipService implements Service, Ownership, PeerListener {

  private static final EventLog LOG = EventLog.of(OwnershipService.class);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long LIST_TIMEOUT_MS = 2_500;
  private static final long MIN_ANNOUNCE_INTERVAL_MS = 5_000;

  /**
   * Makes the interval grow with the number of instances, to limit their total announcement rate.
   */
  private static final long ANNOUNCE_INTERVAL_PER_INSTANCE_MS = 30;

  private static final long MAX_LINK_IDLE_MS = 60_000;
  private static final String INSTANCE_KIND = "instance";

  private final InstanceId self;
  private final InstanceSettings settings;
  private final long incarnation;
  private final ControlThread control;
  private final PeerNetwork peers;
  private final InstanceList instanceList;
  private final Supplier<Revision> revision;
  private final Map<InstanceId, InetSocketAddress> addresses;
  private final Membership membership;
  private final OwnershipMachine machine;
  private final StoreCallExecutor storeCalls;
  private final OwnerCache ownerCache;
  private final SplittableRandom random;
  private OwnershipListener listener;
  private volatile Map<TargetId, Rights> rights = Map.of();
  private volatile Map<TargetId, InstanceId> knownOwners = Map.of();
  private volatile Map<InstanceId, Long> domainInstances = Map.of();
  private volatile int instanceCount = 1;
  private volatile Set<InstanceId> unusableInstances = Set.of();
  private volatile Set<TargetId> leavingTargets = Set.of();
  private Set<InstanceId> lastLiveInstances = Set.of();
  private Map<InstanceId, Long> lastInstances = Map.of();
  private Set<InstanceId> monitoredPeers = Set.of();
  private Revision lastRevision;
  private long nextListReadMs;
  private long nextAnnounceMs;
  private boolean listReadPending;
  private boolean leaseHeld;
  private Drain drain;

  /**
   * Creates the service.
   *
   * @param addresses addresses of peers; the service adds those that the instance list names
   */
  public OwnershipService(
      InstanceSettings settings,
      long incarnation,
      ControlThread control,
      PeerNetwork peers,
      TableService tables,
      InstanceList instanceList,
      Supplier<Revision> revision,
      Map<InstanceId, InetSocketAddress> addresses) {
    this.self = new InstanceId(settings.instance());
    this.settings = settings;
    this.incarnation = incarnation;
    this.control = control;
    this.peers = peers;
    this.instanceList = instanceList;
    this.revision = revision;
    this.addresses = addresses;
    this.random = new SplittableRandom(incarnation ^ self.hashCode());
    this.membership = new Membership(self, incarnation);
    this.machine = new OwnershipMachine(self, incarnation, random.split());
    this.storeCalls = new StoreCallExecutor(tables, event -> control.execute(() -> handle(event)));
    this.ownerCache = new OwnerCache(tables);
  }

  /** Sets the listener, which runs the engines that this instance owns. */
  public void setListener(OwnershipListener listener) {
    this.listener = listener;
  }

  @Override
  public void start() {
    peers.addListener(this);
    control.setPauseListener(
        gapMs -> {
          LOG.warn("process_paused", "gap_ms", gapMs);
          handle(new OwnershipEvent.ProcessPaused(gapMs));
        });
    control.execute(
        () -> {
          membership.handle(
              new MembershipEvent.InstancesConfigured(
                  settings.peers().stream().map(OwnershipService::member).toList()),
              ControlThread.nowMs());
          tick();
        });
    control.executeEvery(TICK_INTERVAL_MS, this::tick);
  }

  private static Member member(Peer peer) {
    return new Member(peer.instance(), true, 0, peer.domain(), peer.address(), false);
  }

  // Queries, which any thread may call.

  @Override
  public Optional<InstanceId> ownerOf(TargetId target) {
    if (leavingTargets.contains(target)) {
      return Optional.empty();
    }
    InstanceId known = knownOwners.get(target);
    Optional<InstanceId> owner =
        known == null ? ownerCache.get(target).or(() -> bestCandidate(target)) : Optional.of(known);
    // A request sent to a silent owner would end with an unknown outcome. Without an owner it is
    // refused as not run.
    return owner.filter(name -> !unusableInstances.contains(name));
  }

  /** Returns the best-ranked candidate, the likely owner of a target without a cached row. */
  private Optional<InstanceId> bestCandidate(TargetId target) {
    return revision
        .get()
        .target(target)
        .flatMap(declared -> rankInstances(target, declared.domain()).stream().findFirst());
  }

  private List<InstanceId> rankInstances(TargetId target, String domain) {
    if (domain.equals(settings.domain())) {
      return Rendezvous.rank(target.value(), domainInstances.keySet(), InstanceId::value);
    }
    List<InstanceId> others =
        settings.peers().stream()
            .filter(peer -> peer.domain().equals(domain))
            .map(peer -> new InstanceId(peer.instance()))
            .toList();
    return Rendezvous.rank(target.value(), others, InstanceId::value);
  }

  @Override
  public long fencingOf(TargetId target) {
    Rights held = rights.get(target);
    return held == null ? 0 : held.fencing();
  }

  @Override
  public boolean mayDispatch(TargetId target) {
    Rights held = rights.get(target);
    return held != null && ControlThread.nowMs() < held.dispatchUntilMs();
  }

  @Override
  public boolean mayCommand(TargetId target) {
    Rights held = rights.get(target);
    return held != null && ControlThread.nowMs() < held.commandUntilMs();
  }

  /** Returns the number of known instances, for rates and shares that are divided among them. */
  public int instanceCount() {
    return instanceCount;
  }

  /** Returns whether the platform lists a target as leaving. */
  public boolean isLeaving(TargetId target) {
    return leavingTargets.contains(target);
  }

  // Events, which arrive on the control thread unless noted otherwise.

  @Override
  public void onRequestsEnded(TargetId target) {
    handle(new OwnershipEvent.RequestsEnded(target));
  }

  @Override
  public void onEngineReported(TargetId target, int running) {
    handle(new OwnershipEvent.EngineReported(target, running));
  }

  @Override
  public boolean handleOnLinkThread(InstanceId from, PeerMessage message) {
    if (message instanceof PeerMessage.RouteFailed failed && isOwnershipRefusal(failed.code())) {
      ownerCache.onRefused(new TargetId(failed.load().target()), from);
    }
    return false;
  }

  private static boolean isOwnershipRefusal(String code) {
    return code.equals("not_owner") || code.equals("lease_expired");
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Heartbeat heartbeat ->
          perform(
              membership.handle(
                  new MembershipEvent.HeartbeatReceived(
                      from, heartbeat.leaving(), heartbeat.sequence(), heartbeat.echoed()),
                  ControlThread.nowMs()));
      case PeerMessage.PromiseWanted request ->
          handle(
              new OwnershipEvent.PromiseRequested(
                  from, request.incarnation(), request.term(), request.round()));
      case PeerMessage.PromiseGiven answer ->
          handle(new OwnershipEvent.PromiseAnswered(from, answer.round(), answer.granted()));
      case PeerMessage.HandoverOffered offered ->
          handle(
              new OwnershipEvent.HandoverOffered(
                  from, new TargetId(offered.target()), offered.fencing()));
      case PeerMessage.HandoverTaken taken ->
          handle(
              new OwnershipEvent.HandoverTaken(
                  from, new TargetId(taken.target()), taken.fencing()));
      case PeerMessage.HandoverDone done ->
          handle(
              new OwnershipEvent.HandoverDone(from, new TargetId(done.target()), done.fencing()));
      default -> {}
    }
  }

  @Override
  public void onHello(InstanceId peer, PeerMessage.Hello hello) {
    perform(
        membership.handle(
            new MembershipEvent.HelloReceived(peer, hello.incarnation(), hello.domain()),
            ControlThread.nowMs()));
    updateInstances();
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    perform(membership.handle(new MembershipEvent.LinkClosed(peer), ControlThread.nowMs()));
    updateInstances();
  }

  private void tick() {
    long nowMs = ControlThread.nowMs();
    updateMonitoredPeers(nowMs);
    perform(membership.handle(new MembershipEvent.Tick(), nowMs));
    updateInstances();
    updateTargets();
    pollInstanceList(nowMs);
    announceIfDue(nowMs);
    ownerCache.readQueued();
    handle(new OwnershipEvent.Tick());
    logLeaseChange(nowMs);
    if (drain != null) {
      drain.advance();
    }
  }

  private void logLeaseChange(long nowMs) {
    boolean held = machine.isLeaseHeld(nowMs);
    if (held != leaseHeld) {
      leaseHeld = held;
      LOG.info(held ? "lease_held" : "lease_not_held", "owned", rights.keySet());
    }
  }

  /** Monitors the other candidates of shared targets and all connected peers by heartbeats. */
  private void updateMonitoredPeers(long nowMs) {
    Set<InstanceId> toMonitor = new TreeSet<>(machine.candidatePeers());
    peers.closeIdleLinks(toMonitor, MAX_LINK_IDLE_MS);
    toMonitor.addAll(peers.connectedPeers());
    toMonitor.remove(self);
    if (!toMonitor.equals(monitoredPeers)) {
      monitoredPeers = toMonitor;
      membership.handle(new MembershipEvent.MonitoredPeersChanged(toMonitor), nowMs);
    }
  }

  private void updateInstances() {
    Set<InstanceId> nowUnusable = membership.unusablePeers(ControlThread.nowMs());
    if (!nowUnusable.equals(unusableInstances)) {
      unusableInstances = Set.copyOf(nowUnusable);
    }
    Map<InstanceId, Long> instances = membership.instances(settings.domain());
    Set<InstanceId> live = membership.liveInstances(settings.domain(), ControlThread.nowMs());
    if (!live.equals(lastLiveInstances) || !instances.equals(lastInstances)) {
      lastLiveInstances = live;
      lastInstances = instances;
      domainInstances = Map.copyOf(instances);
      instanceCount = membership.instanceCount();
      LOG.info("instances_seen", "live", live, "known", instances.keySet());
      handle(new OwnershipEvent.InstancesUpdated(instances, live));
    }
  }

  private void updateTargets() {
    Revision current = revision.get();
    if (current == lastRevision) {
      return;
    }
    lastRevision = current;
    Set<TargetId> declared =
        current.declarations().targets().stream()
            .filter(Target::runsModel)
            .filter(target -> target.domain().equals(settings.domain()))
            .map(target -> new TargetId(target.name()))
            .collect(Collectors.toCollection(TreeSet::new));
    handle(
        new OwnershipEvent.TargetsDeclared(
            declared, current.declarations().policy().requestTimeoutMs()));
  }

  private void pollInstanceList(long nowMs) {
    if (listReadPending || nowMs < nextListReadMs && nextListReadMs != 0) {
      return;
    }
    listReadPending = true;
    instanceList
        .list(nowMs + LIST_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> onInstanceListRead(result, nowMs)));
  }

  private void onInstanceListRead(Result<List<ListEntry>> result, long requestedMs) {
    listReadPending = false;
    long pollMs = membership.pollIntervalMs();
    nextListReadMs = ControlThread.nowMs() + pollMs - random.nextLong(pollMs / 5);
    if (!(result instanceof Result.Ok<List<ListEntry>> ok)) {
      return;
    }
    List<Member> members = ok.value().stream().map(OwnershipService::member).toList();
    membership.handle(new MembershipEvent.InstanceListRead(members), ControlThread.nowMs());
    leavingTargets =
        members.stream()
            .filter(member -> !member.isInstance() && member.leaving())
            .map(member -> new TargetId(member.name()))
            .collect(Collectors.toUnmodifiableSet());
    List<Member> instances = members.stream().filter(Member::isInstance).toList();
    instances.forEach(
        member ->
            addresses.putIfAbsent(
                new InstanceId(member.name()), InstanceSettings.parseAddress(member.address())));
    updateInstances();
    handle(
        new OwnershipEvent.InstanceListRead(
            instances.stream()
                .map(member -> new InstanceId(member.name()))
                .collect(Collectors.toSet()),
            requestedMs));
  }

  private static Member member(ListEntry listed) {
    return new Member(
        listed.name(),
        listed.kind().equals(INSTANCE_KIND),
        listed.incarnation(),
        listed.domain(),
        listed.address(),
        listed.leaving());
  }

  private void announceIfDue(long nowMs) {
    if (nextAnnounceMs != 0 && nowMs < nextAnnounceMs) {
      return;
    }
    long intervalMs =
        Math.max(MIN_ANNOUNCE_INTERVAL_MS, ANNOUNCE_INTERVAL_PER_INSTANCE_MS * instanceCount);
    nextAnnounceMs = nowMs + intervalMs - random.nextLong(intervalMs / 5);
    InetSocketAddress address = peers.address();
    instanceList.announce(
        new ListEntry(
            settings.instance(),
            INSTANCE_KIND,
            incarnation,
            settings.domain(),
            address.getAddress().getHostAddress() + ":" + address.getPort(),
            drain != null),
        nowMs + LIST_TIMEOUT_MS);
  }

  private void handle(OwnershipEvent event) {
    List<OwnershipAction> actions = machine.handle(event, ControlThread.nowMs());
    Map<TargetId, Rights> held = machine.rights();
    if (!held.equals(rights)) {
      rights = Map.copyOf(held);
    }
    Map<TargetId, InstanceId> owners = machine.owners();
    if (!owners.equals(knownOwners)) {
      knownOwners = Map.copyOf(owners);
    }
    actions.forEach(this::perform);
  }

  private void perform(OwnershipAction action) {
    switch (action) {
      case OwnershipAction.WriteLease write -> storeCalls.write(write);
      case OwnershipAction.WriteOwner write -> storeCalls.write(write);
      case OwnershipAction.ReadLease read -> storeCalls.read(read);
      case OwnershipAction.ReadOwner read -> storeCalls.read(read);
      case OwnershipAction.RequestPromise request ->
          peers.send(
              request.to(),
              new PeerMessage.PromiseWanted(request.round(), incarnation, request.term()));
      case OwnershipAction.AnswerPromise answer ->
          peers.send(answer.to(), new PeerMessage.PromiseGiven(answer.round(), answer.granted()));
      case OwnershipAction.OfferHandover offer ->
          peers.send(
              offer.to(), new PeerMessage.HandoverOffered(offer.target().value(), offer.fencing()));
      case OwnershipAction.ConfirmHandover confirm ->
          peers.send(
              confirm.to(),
              new PeerMessage.HandoverTaken(confirm.target().value(), confirm.fencing()));
      case OwnershipAction.FinishHandover finish ->
          peers.send(
              finish.to(), new PeerMessage.HandoverDone(finish.target().value(), finish.fencing()));
      case OwnershipAction.OwnershipGained gained -> {
        LOG.info(
            "ownership_gained",
            "target",
            gained.target(),
            "fencing",
            gained.fencing(),
            "quarantined",
            gained.quarantined());
        listener.onOwnershipGained(gained.target(), gained.quarantined());
      }
      case OwnershipAction.QuarantineEnded ended -> {
        LOG.info("quarantine_ended", "target", ended.target());
        listener.onQuarantineEnded(ended.target());
      }
      case OwnershipAction.OwnershipLost lost -> {
        LOG.warn("ownership_lost", "target", lost.target(), "reason", lost.reason());
        listener.onOwnershipLost(lost.target(), lost.reason());
      }
    }
  }

  private void perform(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      switch (action) {
        case MembershipAction.SendHeartbeat heartbeat ->
            peers.send(
                heartbeat.to(),
                new PeerMessage.Heartbeat(drain != null, heartbeat.sequence(), heartbeat.echoed()));
        case MembershipAction.CloseLink close -> {
          LOG.info("peer_silent", "peer", close.peer());
          peers.disconnect(close.peer());
        }
      }
    }
  }

  // Draining of this instance before it stops.

  /**
   * Hands over the owned targets, waits until no request is in progress and releases the lease.
   *
   * @param idle returns whether no request of this instance is in progress; called on the control
   *     thread
   * @return a future that completes on the control thread when the lease is released
   */
  public CompletableFuture<Void> drain(BooleanSupplier idle) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    control.execute(
        () -> {
          LOG.info("drain_started", "owned", rights.keySet());
          drain = new Drain(idle, done);
          nextAnnounceMs = 0;
          handle(new OwnershipEvent.DrainStarted());
        });
    return done;
  }

  /**
   * A drain in progress. The lease is released when no request is in progress and all targets are
   * handed over, or no other instance is live that could take them.
   */
  private final class Drain {
    private final BooleanSupplier idle;
    private final CompletableFuture<Void> done;
    private boolean releasing;

    Drain(BooleanSupplier idle, CompletableFuture<Void> done) {
      this.idle = idle;
      this.done = done;
    }

    void advance() {
      boolean noOtherInstance = lastLiveInstances.stream().allMatch(self::equals);
      if (!releasing && (rights.isEmpty() || noOtherInstance) && idle.getAsBoolean()) {
        releasing = true;
        handle(new OwnershipEvent.DrainEnded());
      }
      if (releasing && machine.isReleased()) {
        LOG.info("drain_ended");
        done.complete(null);
      }
    }
  }
}
