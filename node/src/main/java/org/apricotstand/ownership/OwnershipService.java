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
import org.apricotstand.platform.InstanceList.Listed;
import org.apricotstand.platform.TableService;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.InstanceSettings.Peer;

/**
 * Owns engines: drives the membership and the ownership machine on the control thread, and answers
 * from any thread who owns an engine and what this instance may do with it.
 *
 * <pre>{@code
 * ownership.drive(owner);
 * if (ownership.mayDispatch(target)) {
 *   // send, with ownership.fencingOf(target)
 * }
 * }</pre>
 */
public final class OwnershipService implements Service, Ownership, PeerListener {

  private static final EventLog LOG = EventLog.of(OwnershipService.class);
  private static final long TICK_MS = 100;
  private static final long LIST_TIMEOUT_MS = 2_500;
  private static final long ANNOUNCE_MS = 5_000;
  private static final long ANNOUNCE_MS_PER_INSTANCE = 30;
  private static final long UNUSED_LINK_MS = 60_000;
  private static final String INSTANCE_KIND = "instance";

  private final InstanceId self;
  private final InstanceSettings settings;
  private final long incarnation;
  private final ControlThread control;
  private final PeerNetwork peers;
  private final InstanceList list;
  private final Supplier<Revision> revision;
  private final Map<InstanceId, InetSocketAddress> addresses;
  private final Membership membership;
  private final OwnershipMachine machine;
  private final StoreCalls store;
  private final OwnerCache cache;
  private final SplittableRandom random;
  private OwnershipListener engines;
  private volatile Map<TargetId, Rights> rights = Map.of();
  private volatile Map<TargetId, InstanceId> knownOwners = Map.of();
  private volatile Map<InstanceId, Long> domainInstances = Map.of();
  private volatile int instanceCount = 1;
  private volatile Set<InstanceId> unusable = Set.of();
  private volatile Set<TargetId> leavingTargets = Set.of();
  private Set<InstanceId> lastLive = Set.of();
  private Map<InstanceId, Long> lastInstances = Map.of();
  private Set<InstanceId> watched = Set.of();
  private Revision lastRevision;
  private long nextListMs;
  private long nextAnnounceMs;
  private boolean listing;
  private boolean leaseHeld;
  private Drain drain;

  /**
   * Creates the service.
   *
   * @param addresses addresses of peers; the service adds those of the instance list
   */
  public OwnershipService(
      InstanceSettings settings,
      long incarnation,
      ControlThread control,
      PeerNetwork peers,
      TableService tables,
      InstanceList list,
      Supplier<Revision> revision,
      Map<InstanceId, InetSocketAddress> addresses) {
    this.self = new InstanceId(settings.instance());
    this.settings = settings;
    this.incarnation = incarnation;
    this.control = control;
    this.peers = peers;
    this.list = list;
    this.revision = revision;
    this.addresses = addresses;
    this.random = new SplittableRandom(incarnation ^ self.hashCode());
    this.membership = new Membership(self, incarnation);
    this.machine = new OwnershipMachine(self, incarnation, random.split());
    this.store = new StoreCalls(tables, event -> control.execute(() -> handle(event)));
    this.cache = new OwnerCache(tables);
  }

  /** Sets who runs the engines that this instance owns. */
  public void drive(OwnershipListener listener) {
    engines = listener;
  }

  @Override
  public void start() {
    peers.listen(this);
    control.onPause(
        gapMs -> {
          LOG.warn("process_paused", "gap_ms", gapMs);
          handle(new OwnershipEvent.PauseDetected(gapMs));
        });
    control.execute(
        () -> {
          membership.handle(
              new MembershipEvent.Configured(
                  settings.peers().stream().map(OwnershipService::member).toList()),
              ControlThread.nowMs());
          tick();
        });
    control.executeEvery(TICK_MS, this::tick);
  }

  private static Member member(Peer peer) {
    return new Member(peer.instance(), true, 0, peer.domain(), peer.address(), false);
  }

  // Answers for any thread.

  @Override
  public Optional<InstanceId> ownerOf(TargetId target) {
    if (leavingTargets.contains(target)) {
      return Optional.empty();
    }
    InstanceId known = knownOwners.get(target);
    Optional<InstanceId> owner =
        known == null ? cache.get(target).or(() -> bestCandidate(target)) : Optional.of(known);
    // A request for a silent owner would end with an unknown outcome; refused, it is not run.
    return owner.filter(name -> !unusable.contains(name));
  }

  /** Returns who probably owns a target whose row has not been read yet. */
  private Optional<InstanceId> bestCandidate(TargetId target) {
    return revision
        .get()
        .target(target)
        .flatMap(declared -> ranked(target, declared.domain()).stream().findFirst());
  }

  private List<InstanceId> ranked(TargetId target, String domain) {
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

  /** Returns the number of known instances, for rates and shares that they divide. */
  public int instanceCount() {
    return instanceCount;
  }

  /** Returns whether the platform lists a target as leaving. */
  public boolean isLeaving(TargetId target) {
    return leavingTargets.contains(target);
  }

  // Events on the control thread.

  @Override
  public void requestsEnded(TargetId target) {
    handle(new OwnershipEvent.RequestsEnded(target));
  }

  @Override
  public void engineReported(TargetId target, int running) {
    handle(new OwnershipEvent.EngineReported(target, running));
  }

  @Override
  public boolean onTraffic(InstanceId from, PeerMessage message) {
    if (message instanceof PeerMessage.RouteFailed failed && isStaleOwner(failed.code())) {
      cache.refused(new TargetId(failed.load().target()), from);
    }
    return false;
  }

  private static boolean isStaleOwner(String code) {
    return code.equals("not_owner") || code.equals("lease_expired");
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Heartbeat beat ->
          perform(
              membership.handle(
                  new MembershipEvent.HeartbeatReceived(
                      from, beat.leaving(), beat.sequence(), beat.echoed()),
                  ControlThread.nowMs()));
      case PeerMessage.PromiseWanted wanted ->
          handle(
              new OwnershipEvent.PromiseAsked(
                  from, wanted.incarnation(), wanted.term(), wanted.round()));
      case PeerMessage.PromiseGiven given ->
          handle(new OwnershipEvent.PromiseAnswered(from, given.round(), given.granted()));
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
            new MembershipEvent.Greeted(peer, hello.incarnation(), hello.domain()),
            ControlThread.nowMs()));
    seeInstances();
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    perform(membership.handle(new MembershipEvent.LinkClosed(peer), ControlThread.nowMs()));
    seeInstances();
  }

  private void tick() {
    long nowMs = ControlThread.nowMs();
    watchLinks(nowMs);
    perform(membership.handle(new MembershipEvent.Tick(), nowMs));
    seeInstances();
    seeTargets();
    pollList(nowMs);
    announce(nowMs);
    cache.readWanted();
    handle(new OwnershipEvent.Tick());
    logLease(nowMs);
    if (drain != null) {
      drain.advance();
    }
  }

  private void logLease(long nowMs) {
    boolean held = machine.isLeaseHeld(nowMs);
    if (held != leaseHeld) {
      leaseHeld = held;
      LOG.info(held ? "lease_held" : "lease_not_held", "owned", rights.keySet());
    }
  }

  /** Sends heartbeats to the other candidates of own targets and over links that are in use. */
  private void watchLinks(long nowMs) {
    Set<InstanceId> wanted = new TreeSet<>(machine.neighbours());
    peers.closeUnused(wanted, UNUSED_LINK_MS);
    wanted.addAll(peers.connected());
    wanted.remove(self);
    if (!wanted.equals(watched)) {
      watched = wanted;
      membership.handle(new MembershipEvent.Watched(wanted), nowMs);
    }
  }

  private void seeInstances() {
    Set<InstanceId> silent = membership.unusable(ControlThread.nowMs());
    if (!silent.equals(unusable)) {
      unusable = Set.copyOf(silent);
    }
    Map<InstanceId, Long> instances = membership.instances(settings.domain());
    Set<InstanceId> live = membership.live(settings.domain(), ControlThread.nowMs());
    if (!live.equals(lastLive) || !instances.equals(lastInstances)) {
      lastLive = live;
      lastInstances = instances;
      domainInstances = Map.copyOf(instances);
      instanceCount = membership.count();
      LOG.info("instances_seen", "live", live, "known", instances.keySet());
      handle(new OwnershipEvent.InstancesSeen(instances, live));
    }
  }

  private void seeTargets() {
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

  private void pollList(long nowMs) {
    if (listing || nowMs < nextListMs && nextListMs != 0) {
      return;
    }
    listing = true;
    list.list(nowMs + LIST_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> listRead(result, nowMs)));
  }

  private void listRead(Result<List<Listed>> result, long askedMs) {
    listing = false;
    long pollMs = membership.pollMs();
    nextListMs = ControlThread.nowMs() + pollMs - random.nextLong(pollMs / 5);
    if (!(result instanceof Result.Ok<List<Listed>> ok)) {
      return;
    }
    List<Member> members = ok.value().stream().map(OwnershipService::member).toList();
    membership.handle(new MembershipEvent.ListRead(members), ControlThread.nowMs());
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
    seeInstances();
    handle(
        new OwnershipEvent.ListRead(
            instances.stream()
                .map(member -> new InstanceId(member.name()))
                .collect(Collectors.toSet()),
            askedMs));
  }

  private static Member member(Listed listed) {
    return new Member(
        listed.name(),
        listed.kind().equals(INSTANCE_KIND),
        listed.incarnation(),
        listed.domain(),
        listed.address(),
        listed.leaving());
  }

  private void announce(long nowMs) {
    if (nextAnnounceMs != 0 && nowMs < nextAnnounceMs) {
      return;
    }
    long pauseMs = Math.max(ANNOUNCE_MS, ANNOUNCE_MS_PER_INSTANCE * instanceCount);
    nextAnnounceMs = nowMs + pauseMs - random.nextLong(pauseMs / 5);
    InetSocketAddress address = peers.address();
    list.announce(
        new Listed(
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
      case OwnershipAction.WriteLease write -> store.write(write);
      case OwnershipAction.WriteOwner write -> store.write(write);
      case OwnershipAction.ReadLease read -> store.read(read);
      case OwnershipAction.ReadOwner read -> store.read(read);
      case OwnershipAction.AskPromise ask ->
          peers.send(ask.to(), new PeerMessage.PromiseWanted(ask.round(), incarnation, ask.term()));
      case OwnershipAction.AnswerPromise answer ->
          peers.send(answer.to(), new PeerMessage.PromiseGiven(answer.round(), answer.granted()));
      case OwnershipAction.OfferHandover offer ->
          peers.send(
              offer.to(), new PeerMessage.HandoverOffered(offer.target().value(), offer.fencing()));
      case OwnershipAction.ConfirmHandover taken ->
          peers.send(
              taken.to(), new PeerMessage.HandoverTaken(taken.target().value(), taken.fencing()));
      case OwnershipAction.FinishHandover done ->
          peers.send(
              done.to(), new PeerMessage.HandoverDone(done.target().value(), done.fencing()));
      case OwnershipAction.Gained gained -> {
        LOG.info(
            "ownership_gained",
            "target",
            gained.target(),
            "fencing",
            gained.fencing(),
            "quarantined",
            gained.quarantined());
        engines.gained(gained.target(), gained.quarantined());
      }
      case OwnershipAction.QuarantineEnded ended -> {
        LOG.info("quarantine_ended", "target", ended.target());
        engines.quarantineEnded(ended.target());
      }
      case OwnershipAction.Lost lost -> {
        LOG.warn("ownership_lost", "target", lost.target(), "reason", lost.reason());
        engines.lost(lost.target(), lost.reason());
      }
    }
  }

  private void perform(List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      switch (action) {
        case MembershipAction.SendHeartbeat beat ->
            peers.send(
                beat.to(),
                new PeerMessage.Heartbeat(drain != null, beat.sequence(), beat.echoed()));
        case MembershipAction.CloseLink close -> {
          LOG.info("peer_silent", "peer", close.peer());
          peers.disconnect(close.peer());
        }
      }
    }
  }

  // Drain.

  /**
   * Hands the own targets over, waits until no request is in progress and releases the lease.
   *
   * @param idle whether no request of this instance is in progress, on the control thread
   * @return completes on the control thread
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

  /** Steps of leaving. */
  private final class Drain {
    private final BooleanSupplier idle;
    private final CompletableFuture<Void> done;
    private boolean releasing;

    Drain(BooleanSupplier idle, CompletableFuture<Void> done) {
      this.idle = idle;
      this.done = done;
    }

    void advance() {
      boolean alone = lastLive.stream().allMatch(self::equals);
      if (!releasing && (rights.isEmpty() || alone) && idle.getAsBoolean()) {
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
