package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.dispatch.TargetSpeeds;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.overlay.EntryVersion;
import org.apricotstand.overlay.LinkRole;
import org.apricotstand.overlay.Overlay;
import org.apricotstand.overlay.OverlayInstance;
import org.apricotstand.overlay.ReplicatedEntries;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerLinks;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.StateEntry;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaShares;

/**
 * Exchanges the state of the fleet with the neighbors that the {@link Overlay} chooses: reports of
 * load to the relay, sums of the reports and published entries between relays and to members. Not
 * thread-safe; used on the control thread only.
 */
final class FleetExchange {

  private static final EventLog LOG = EventLog.of(FleetExchange.class);
  private static final long MIN_REPORT_PERIOD_MS = 150;
  private static final long MAX_REPORT_PERIOD_MS = 500;

  /** Lengthens the report period with the number of instances, to bound the total of messages. */
  private static final long REPORT_PERIOD_PER_INSTANCE_MS = 20;

  /** Minimum time between two updates with urgent entries while all instances are linked. */
  private static final long MESH_URGENT_PERIOD_MS = 40;

  /**
   * The same in larger fleets, where each update is passed on to everybody. Instances whose
   * requests wait for an adapter are told directly.
   */
  private static final long URGENT_PERIOD_MS = 200;

  /** Time for which an instance that asked for a load is told of the changes of the engine. */
  private static final long INTEREST_MS = 1_000;

  /** Time until an update has been received and processed by a busy instance. */
  private static final long MESSAGE_DELAY_MS = 100;

  /** Gap between two ticks from which this instance counts as having been delayed itself. */
  private static final long OWN_DELAY_MS = 250;

  /** Period of publishing unchanged members again, for those that dropped this relay meanwhile. */
  private static final long MEMBERS_PERIOD_MS = 2_000;

  private static final long IDLE_LINK_MS = 10_000;

  private final LongSupplier clock;
  private final OverlayInstance self;
  private final long incarnation;
  private final PeerLinks peers;
  private final FleetExchangeListener listener;
  private final Overlay overlay;
  private final ReplicatedEntries<StateEntry> entries;
  private final MemberReports members;
  private final RelayedState relayed = new RelayedState();
  private final LinkWatch linkWatch = new LinkWatch();
  private final OwnReports ownReports;
  private final TargetSpeeds speeds = new TargetSpeeds();
  private final Map<String, Long> useSilentFromMs = new HashMap<>();
  private final Map<String, Long> eventUntilMs = new HashMap<>();
  private final AdaptersInUseSender useSender;
  private final Map<String, Map<String, Long>> interestUntilMs = new HashMap<>();
  private final SharedTables tables;
  private final QuotaExchange quotas;
  private final ConfigurationWatch configurationWatch;
  private final Set<String> leavingInstances = new HashSet<>();
  private final SilentRelayLog silentRelayLog = new SilentRelayLog();
  private Set<String> liveInstances = Set.of();
  private FleetState.InstanceStatus publishedStatus;
  private List<String> publishedMembers = List.of();
  private long sequence;
  private long nextReportMs;
  private long nextUrgentMs;
  private long nextIdleCheckMs;
  private long nextMembersMs;
  private long lastTickMs;

  /**
   * Creates the exchange of an instance without neighbors.
   *
   * @param clock monotonic time in milliseconds
   * @param ownerOf returns the owner of an engine, or null when none is known
   */
  FleetExchange(
      LongSupplier clock,
      OverlayInstance self,
      long incarnation,
      PeerLinks peers,
      LocalLoadTracker localLoad,
      Function<String, String> ownerOf,
      QuotaBounds quotaBounds,
      FleetExchangeListener listener) {
    this.clock = clock;
    this.self = self;
    this.lastTickMs = clock.getAsLong();
    this.incarnation = incarnation;
    this.quotas = new QuotaExchange(clock, self.name(), quotaBounds, localLoad);
    this.members = new MemberReports(quotaBounds.windowMs());
    this.peers = peers;
    this.ownReports = new OwnReports(localLoad);
    this.useSender =
        new AdaptersInUseSender(self.name(), ownerOf, listener::onAdaptersInUse, this::sendToOwner);
    this.listener = listener;
    this.overlay = new Overlay(self);
    double staggerFraction = new Random(incarnation ^ self.name().hashCode()).nextDouble();
    this.tables = new SharedTables(clock, staggerFraction, new TableLinks());
    this.configurationWatch =
        new ConfigurationWatch(clock, peers, listener::onConfigurationConfirmed);
    this.entries = new ReplicatedEntries<>(self.domain());
  }

  /** Sets the other registered instances. */
  void setInstances(List<OverlayInstance> others) {
    overlay.setInstances(others);
  }

  /** Returns the other instances that are alive. */
  Set<String> liveInstances() {
    return liveInstances;
  }

  /** Returns the instances that are alive, including this one. */
  Set<String> allInstances() {
    Set<String> names = new HashSet<>(liveInstances);
    names.add(self.name());
    return Set.copyOf(names);
  }

  boolean isLeaving(String instance) {
    return leavingInstances.contains(instance);
  }

  /** Returns whether the state of other instances comes through relays, and therefore late. */
  boolean usesRelays() {
    return !overlay.isMesh();
  }

  /** Returns what the answers to all instances say of the speed of targets. */
  TargetSpeeds speeds() {
    return speeds;
  }

  /** Returns the requests of the other instances at each target, as last published. */
  Map<String, TargetLoad> peerLoads() {
    Map<String, TargetLoad> loads = relayed.loads();
    ownReports.subtractFrom(loads);
    return loads;
  }

  /** Returns the time after which each use of an adapter has reached the owner of its engine. */
  long usageReportLagMs() {
    // One period until the own report, one until the relay passes the sums on.
    return 2 * reportPeriodMs() + MESSAGE_DELAY_MS;
  }

  private long reportPeriodMs() {
    long periodMs = REPORT_PERIOD_PER_INSTANCE_MS * (1 + liveInstances.size());
    return Math.clamp(periodMs, MIN_REPORT_PERIOD_MS, MAX_REPORT_PERIOD_MS);
  }

  /** Returns the state from which the shares of limits of tenants follow. */
  QuotaExchange quotas() {
    return quotas;
  }

  /** Returns the fractions of the limits of tenants that this instance may use. */
  QuotaShares quotaShares() {
    return quotas.shares(overlay.relay().orElse(self.name()));
  }

  /** Asks the relay of this instance, which may be itself, for credit for one request. */
  void requestQuota(PeerMessage.QuotaWanted wanted) {
    overlay
        .relay()
        .ifPresentOrElse(
            relay -> peers.send(new InstanceId(relay), wanted),
            () -> {
              PeerMessage.QuotaLent answer = quotas.lend(self.name(), wanted);
              listener.onQuotaLent(answer.number(), answer.amount() > 0);
            });
  }

  /** Publishes what an engine of this instance holds. */
  void publishHoldings(FleetState.EngineHoldings holdings, long fencingNumber) {
    String key = "holdings/" + holdings.engine();
    publish(key, fencingNumber, holdings);
    tellInterested(holdings.engine(), entries.get(key).value());
    sendUrgent(clock.getAsLong());
  }

  /** Records that requests of an instance wait for a load at an engine of this instance. */
  void recordInterest(String engine, String instance) {
    interestUntilMs
        .computeIfAbsent(engine, id -> new HashMap<>())
        .put(instance, clock.getAsLong() + INTEREST_MS);
  }

  private void tellInterested(String engine, StateEntry entry) {
    Map<String, Long> interested = interestUntilMs.getOrDefault(engine, new HashMap<>());
    interested.values().removeIf(untilMs -> clock.getAsLong() > untilMs);
    PeerMessage update = new PeerMessage.StateUpdate(false, List.of(entry));
    peers.sendToAll(interested.keySet().stream().map(InstanceId::new).toList(), update);
  }

  /** Returns what the owner of an engine published last; null when nothing is known. */
  FleetState.EngineHoldings holdingsOf(String engine) {
    ReplicatedEntries.Entry<StateEntry> entry = entries.get("holdings/" + engine);
    return entry == null ? null : (FleetState.EngineHoldings) entry.value().state();
  }

  /** Forgets the holdings of engines that are not listed. */
  void retainEngines(Set<String> engines) {
    entries.keys().stream()
        .filter(key -> key.startsWith("holdings/"))
        .filter(key -> !engines.contains(key.substring("holdings/".length())))
        .forEach(entries::remove);
    interestUntilMs.keySet().retainAll(engines);
  }

  void publishCrash(FleetState.TargetCrash crash) {
    publishEvent("crash/" + crash.target(), crash);
  }

  void publishAnswer(FleetState.TraitAnswered answer) {
    entries.remove(refusalKey(answer.trait()));
    publishEvent("answered/" + answer.trait(), answer);
  }

  /**
   * Publishes that a trait is refused, for instances that start later. All instances come to know
   * it at the same time from the crashes themselves, so in a large fleet only relays publish it.
   */
  void publishRefusal(FleetState.TraitRefused refusal) {
    if (overlay.isMesh() || overlay.relay().isEmpty()) {
      publish(refusalKey(refusal.trait()), incarnation, refusal);
    }
  }

  private static String refusalKey(String trait) {
    return "refused/" + trait;
  }

  void publishLimit(FleetState.TargetLimit limit) {
    publishEvent("limit/" + limit.target(), limit);
  }

  void publishLimitEnd(FleetState.TargetLimitEnd end) {
    publishEvent("limit/" + end.target(), end);
  }

  /** Publishes what happened here; each time under a key of its own, since all of it counts. */
  private void publishEvent(String what, FleetState event) {
    publish(what + "/" + self.name() + "/" + (sequence + 1), incarnation, event);
    sendUrgent(clock.getAsLong());
  }

  private void publish(String key, long epoch, FleetState state) {
    sequence++;
    put(new StateEntry(key, epoch, sequence, self.domain(), state), ReplicatedEntries.OWN);
  }

  private boolean put(StateEntry entry, String source) {
    boolean isNew = entries.put(toStored(entry), source);
    if (isNew) {
      StateLifetime.lifetimeMs(entry.state())
          .ifPresent(lifetimeMs -> eventUntilMs.put(entry.key(), clock.getAsLong() + lifetimeMs));
    }
    return isNew;
  }

  private static ReplicatedEntries.Entry<StateEntry> toStored(StateEntry entry) {
    return new ReplicatedEntries.Entry<>(
        entry.key(),
        new EntryVersion(entry.epoch(), entry.sequence()),
        entry.domain(),
        StateLifetime.isUrgent(entry.state()),
        entry);
  }

  /** Sends a message to the owner of an engine, directly. */
  void sendToOwner(String owner, PeerMessage message) {
    linkWatch.recordSent(owner, clock.getAsLong());
    peers.send(new InstanceId(owner), message);
  }

  /** Runs what is due; to be called many times a second. */
  void tick(boolean leaving, Map<String, LeaseStatus> leases) {
    long nowMs = clock.getAsLong();
    excuseOwnDelay(nowMs);
    overlay.setLeaving(self.name(), leaving);
    List<String> silentPeers = new ArrayList<>(overlay.update(nowMs));
    silentPeers.addAll(linkWatch.takeSilent(nowMs));
    silentPeers.forEach(
        peer -> {
          LOG.info("peer_silent", "peer", peer);
          peers.disconnect(new InstanceId(peer));
        });
    entries.setNeighbors(overlay.neighbors());
    publishStatus(new FleetState.InstanceStatus(self.name(), leaving, leases));
    removeSilent(nowMs);
    if (nowMs >= nextReportMs) {
      nextReportMs = nowMs + reportPeriodMs();
      report(nowMs);
    } else {
      sendUrgent(nowMs);
    }
    configurationWatch.tick(overlay.relay());
    closeIdleLinks(nowMs);
  }

  private void excuseOwnDelay(long nowMs) {
    long gapMs = nowMs - lastTickMs;
    lastTickMs = nowMs;
    if (gapMs > OWN_DELAY_MS) {
      members.extend(gapMs);
      relayed.extend(gapMs);
      linkWatch.extend(gapMs);
      useSilentFromMs.replaceAll((relay, atMs) -> atMs + gapMs);
    }
  }

  private void publishStatus(FleetState.InstanceStatus status) {
    if (publishedStatus == null || status.differsFrom(publishedStatus)) {
      publishedStatus = status;
      publish("instance/" + self.name(), incarnation, status);
    }
  }

  private void removeSilent(long nowMs) {
    members.removeSilent(nowMs).forEach(quotas::onMemberSilent);
    relayed.silentRelays(nowMs).forEach(this::removeRelay);
    silentRelayLog.tick(nowMs);
    DueKeys.take(eventUntilMs, nowMs).forEach(entries::remove);
    DueKeys.take(useSilentFromMs, nowMs).forEach(listener::onUseSilent);
  }

  private void removeRelay(String relay) {
    relayed.remove(relay);
    entries.remove("load/" + relay);
    entries.remove("relayed/" + relay);
    silentRelayLog.add(relay);
    updateLiveInstances();
    listener.onLoadsChanged();
  }

  private void report(long nowMs) {
    PeerMessage.MemberReport own = takeOwnReport();
    overlay
        .relay()
        .ifPresentOrElse(
            relay -> {
              members.remove(self.name());
              peers.send(new InstanceId(relay), own);
            },
            () -> {
              putReport(self.name(), own, nowMs);
              ownReports.recordIncluded(own.sequence());
            });
    publishMembers(nowMs);
    if (overlay.relay().isEmpty()) {
      quotas.onReportIncluded(own.sequence());
    }
    sendUpdates(overlay.neighbors().keySet());
    members.sequences().forEach(this::confirmReport);
    useSender.send(members.adaptersInUse());
  }

  private void putReport(String member, PeerMessage.MemberReport report, long nowMs) {
    boolean isNewProcess = members.put(member, report, nowMs);
    quotas.onReport(member, report.settledLoans(), isNewProcess);
  }

  private PeerMessage.MemberReport takeOwnReport() {
    sequence++;
    // Read before the use, so that the use of these loans is included.
    long settledLoans = quotas.settledLoans();
    return ownReports.take(sequence, quotas.takeUses(sequence), settledLoans);
  }

  /** Publishes the sums of the reports of all members, if this instance relays for any. */
  private void publishMembers(long nowMs) {
    if (members.isEmpty()) {
      publishedMembers = List.of();
      return;
    }
    List<String> instances = members.instances();
    if (!instances.equals(publishedMembers) || nowMs >= nextMembersMs) {
      publishedMembers = instances;
      nextMembersMs = nowMs + MEMBERS_PERIOD_MS;
      FleetState.RelayedInstances state = new FleetState.RelayedInstances(self.name(), instances);
      publish("relayed/" + self.name(), incarnation, state);
      relayed.put(state);
      updateLiveInstances();
    }
    FleetState.RelayedLoad load =
        new FleetState.RelayedLoad(
            self.name(),
            members.sum(PeerMessage.MemberReport::started),
            members.sum(PeerMessage.MemberReport::waiting),
            members.takeArrivals(),
            quotas.withOpenLoans(members.tenants()),
            quotas.scope(),
            members.takeAnswerTimes());
    publish("load/" + self.name(), incarnation, load);
    applyLoad(load, nowMs);
  }

  private void confirmReport(String member, long reportSequence) {
    if (!member.equals(self.name())) {
      peers.send(new InstanceId(member), new PeerMessage.ReportIncluded(reportSequence));
    }
  }

  private void sendUrgent(long nowMs) {
    Set<String> waiting = neighborsWithUrgent();
    if (!waiting.isEmpty() && nowMs >= nextUrgentMs) {
      nextUrgentMs = nowMs + (overlay.isMesh() ? MESH_URGENT_PERIOD_MS : URGENT_PERIOD_MS);
      sendUpdates(waiting);
    }
  }

  private Set<String> neighborsWithUrgent() {
    if (!entries.hasUrgent()) {
      return Set.of();
    }
    Set<String> waiting = new HashSet<>(overlay.neighbors().keySet());
    waiting.removeIf(neighbor -> !entries.hasUrgent(neighbor));
    return waiting;
  }

  /** Returns the time from which urgent entries may be sent; empty when none wait. */
  OptionalLong urgentDueMs() {
    return entries.hasUrgent() ? OptionalLong.of(nextUrgentMs) : OptionalLong.empty();
  }

  /** Sends to each neighbor the entries that it lacks; equal updates are encoded once. */
  private void sendUpdates(Set<String> neighbors) {
    UpdateGroups groups = new UpdateGroups();
    for (String neighbor : neighbors) {
      List<StateEntry> missing =
          entries.take(neighbor).stream()
              .map(ReplicatedEntries.Entry::value)
              .map(this::withAge)
              .toList();
      groups.add(neighbor, new PeerMessage.StateUpdate(overlay.isUplink(neighbor), missing));
    }
    groups.sendTo(peers);
  }

  /**
   * Returns an entry as it is passed on now: the rest of a refusal is shorter than at its start.
   */
  private StateEntry withAge(StateEntry entry) {
    if (!(entry.state() instanceof FleetState.TraitRefused refusal)) {
      return entry;
    }
    long nowMs = clock.getAsLong();
    long remainingMs = Math.max(0, eventUntilMs.getOrDefault(entry.key(), nowMs) - nowMs);
    FleetState aged = new FleetState.TraitRefused(refusal.trait(), remainingMs);
    return new StateEntry(entry.key(), entry.epoch(), entry.sequence(), entry.domain(), aged);
  }

  private void closeIdleLinks(long nowMs) {
    if (nowMs >= nextIdleCheckMs) {
      nextIdleCheckMs = nowMs + IDLE_LINK_MS / 10;
      Set<InstanceId> kept = new HashSet<>();
      overlay.neighbors().keySet().forEach(name -> kept.add(new InstanceId(name)));
      peers.closeIdleLinks(kept, IDLE_LINK_MS);
    }
  }

  /** Called when a link to a peer opened; what was sent on a former link may be lost. */
  void onLinked(String peer) {
    entries.resendAll(peer);
  }

  void onLinkClosed(String peer) {
    overlay.recordLinkFailure(peer, clock.getAsLong());
  }

  /** Handles a message of a peer if it belongs to the exchange; returns whether it did. */
  boolean handle(String from, PeerMessage message) {
    long nowMs = clock.getAsLong();
    linkWatch.recordHeard(from);
    overlay.recordHeard(from, nowMs);
    switch (message) {
      case PeerMessage.StateUpdate update -> applyUpdate(from, update, nowMs);
      case PeerMessage.MemberReport report -> {
        overlay.recordRequested(from, true, nowMs);
        putReport(from, report, nowMs);
      }
      case PeerMessage.ReportIncluded included -> {
        ownReports.recordIncluded(included.sequence());
        quotas.onReportIncluded(included.sequence());
      }
      case PeerMessage.QuotaWanted wanted ->
          peers.send(new InstanceId(from), quotas.lend(from, wanted));
      case PeerMessage.QuotaLent lent -> listener.onQuotaLent(lent.number(), lent.amount() > 0);
      case PeerMessage.AdaptersInUse use -> {
        answerIfNeeded(from, nowMs);
        useSilentFromMs.put(from, nowMs + Overlay.SILENCE_TIMEOUT_MS);
        listener.onAdaptersInUse(from, use.inUse());
      }
      case PeerMessage.TableRead read -> tables.apply(read);
      case PeerMessage.TableRegained regained -> tables.apply(regained);
      case PeerMessage.ConfigurationAsked asked -> configurationWatch.answer(from, asked);
      case PeerMessage.ConfigurationConfirmed confirmed -> configurationWatch.apply(confirmed);
      case PeerMessage.Heartbeat heartbeat -> {}
      default -> {
        answerIfNeeded(from, nowMs);
        return false;
      }
    }
    return true;
  }

  private void answerIfNeeded(String peer, long nowMs) {
    if (linkWatch.needsHeartbeat(peer, nowMs)) {
      peers.send(new InstanceId(peer), new PeerMessage.Heartbeat(false, 0, 0));
    }
  }

  private void applyUpdate(String from, PeerMessage.StateUpdate update, long nowMs) {
    if (update.requested()) {
      overlay.recordRequested(from, false, nowMs);
    }
    // Rows are passed on together, since their listeners do work for the whole table.
    List<FleetState.TableRow> rows = new ArrayList<>();
    for (StateEntry entry : update.entries()) {
      if (put(entry, from)) {
        if (entry.state() instanceof FleetState.TableRow row) {
          rows.add(row);
        } else {
          apply(entry.state(), nowMs);
        }
      }
    }
    tables.apply(rows);
    sendUrgent(nowMs);
  }

  private void apply(FleetState state, long nowMs) {
    switch (state) {
      case FleetState.InstanceStatus status -> applyStatus(status);
      case FleetState.RelayedInstances instances -> {
        relayed.put(instances);
        if (!instances.relay().equals(self.name())) {
          members.removeMoved(instances.instances());
        }
        updateLiveInstances();
      }
      case FleetState.RelayedLoad load -> applyLoad(load, nowMs);
      case FleetState.EngineHoldings holdings -> listener.onHoldings(holdings);
      case FleetState.TargetCrash crash -> listener.onCrash(crash);
      case FleetState.TraitAnswered answer -> {
        entries.remove(refusalKey(answer.trait()));
        listener.onAnswer(answer);
      }
      case FleetState.TraitRefused refusal -> listener.onRefusal(refusal);
      case FleetState.TargetLimit limit -> listener.onLimit(limit);
      case FleetState.TargetLimitEnd end -> listener.onLimitEnd(end);
      case FleetState.TableRow row -> tables.apply(List.of(row));
    }
  }

  /** Returns the tables of the store that the instances read for each other. */
  SharedTables tables() {
    return tables;
  }

  /** Returns what is known about the age of the configuration. */
  ConfigurationWatch configurationWatch() {
    return configurationWatch;
  }

  /** Carries what {@link SharedTables} passes on. */
  private final class TableLinks implements SharedTables.Links {

    @Override
    public boolean isMesh() {
      return overlay.isMesh();
    }

    @Override
    public boolean hasRelay() {
      return overlay.relay().isPresent();
    }

    @Override
    public void publish(List<FleetState.TableRow> rows) {
      rows.forEach(FleetExchange.this::publishRow);
      sendUpdates(memberNames());
    }

    @Override
    public void sendToMembers(PeerMessage message) {
      FleetExchange.this.sendToMembers(message);
    }
  }

  private void sendToMembers(PeerMessage message) {
    peers.sendToAll(memberNames().stream().map(InstanceId::new).toList(), message);
  }

  private Set<String> memberNames() {
    return overlay.neighbors().entrySet().stream()
        .filter(neighbor -> neighbor.getValue().role() == LinkRole.MEMBER)
        .map(Map.Entry::getKey)
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private void publishRow(FleetState.TableRow row) {
    String key = "row/" + row.table() + "/" + row.rowKey();
    // The version of the row orders the entry, whoever read it.
    long era = row.version().era();
    long number = row.version().number();
    put(new StateEntry(key, era, number, self.domain(), row), ReplicatedEntries.OWN);
  }

  private void applyStatus(FleetState.InstanceStatus status) {
    overlay.setLeaving(status.instance(), status.leaving());
    boolean changed =
        status.leaving()
            ? leavingInstances.add(status.instance())
            : leavingInstances.remove(status.instance());
    if (changed) {
      listener.onInstancesChanged();
    }
    listener.onLeasesPublished(status.instance(), status.leases());
  }

  private void applyLoad(FleetState.RelayedLoad load, long nowMs) {
    relayed.put(load, nowMs);
    speeds.record(load.times(), nowMs);
    quotas.onLoad(load, Set.copyOf(relayed.instancesOf(load.relay())));
    updateLiveInstances();
    listener.onInstancesHeard(Set.copyOf(relayed.instancesOf(load.relay())));
    listener.onArrivals(load.arrivals());
    listener.onLoadsChanged();
  }

  private void updateLiveInstances() {
    Set<String> live = relayed.liveInstances();
    live.remove(self.name());
    if (live.equals(liveInstances)) {
      return;
    }
    Set<String> silent = new HashSet<>(liveInstances);
    silent.removeAll(live);
    liveInstances = Set.copyOf(live);
    overlay.setLive(liveInstances);
    silent.forEach(
        instance -> {
          LOG.info("instance_silent", "instance", instance);
          entries.remove("instance/" + instance);
          leavingInstances.remove(instance);
          overlay.setLeaving(instance, false);
          listener.onInstanceSilent(instance);
        });
    listener.onInstancesChanged();
  }
}
