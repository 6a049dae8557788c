package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetRegistry;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.overlay.OverlayInstance;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.port.ConfigurationListener;
import org.apricotstand.port.ConfigurationSource;
import org.apricotstand.port.EngineControl;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.port.TargetListener;
import org.apricotstand.port.TargetSource;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.request.FleetNotifier;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.residency.WarmCopies;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.suspect.Trait;

/**
 * Collects the state of targets, engines and peers on the control thread and publishes it as a
 * {@link FleetView}. Exchanges load reports with the peers and routes load requests to the owners
 * of the engines.
 */
public final class FleetService
    implements Service,
        ConfigurationListener,
        TargetListener,
        PeerListener,
        FleetNotifier,
        FleetExchangeListener {

  private static final EventLog LOG = EventLog.of(FleetService.class);

  /** Period while loads wait or this instance is leaving, and least delay of urgent entries. */
  private static final long FAST_TICK_MS = 20;

  private static final long TICK_MS = 50;

  /**
   * Time after the start in which registered instances count as alive before they are heard of, so
   * that instances that start together rank themselves alike for the leases of engines.
   */
  private static final long START_MS = 5_000;

  /** Period in which the shares of limits are computed, which takes time for each tenant. */
  private static final long QUOTA_SHARES_PERIOD_MS = 200;

  private static final long REFUSAL_READ_RETRY_MS = 300;

  /** Number of adapters of which an engine keeps copies. */
  private static final int WARM_COPIES_PER_ENGINE = 100;

  private final ControlThread control;
  private final ServingSettings settings;
  private final ConfigurationSource configuration;
  private final TargetSource targetSource;
  private final PeerNetwork peers;
  private final InstanceDirectory directory;
  private final FleetExchange exchange;
  private final EngineOwner engineOwner;
  private final RefusalTable refusalTable;
  private final KnownInstances knownInstances;
  private final Ticker ticker;
  private final StalenessLog stalenessLog;
  private final TargetRegistry targetRegistry = new TargetRegistry();
  private final AdapterUsageTracker usageTracker = new AdapterUsageTracker();
  private final Map<AdapterKey, Long> declaredVersions = new HashMap<>();
  private final Map<String, Residency> residencies = new HashMap<>();
  private final Map<String, WarmCopies> warmCopies = new HashMap<>();
  private final Map<String, String> incarnations = new HashMap<>();
  private Runnable viewListener = () -> {};
  private FleetEventListener eventListener = FleetEventListener.NONE;
  private RoutingPlan plan;
  private List<TargetEntry> targets = List.of();
  private boolean publishScheduled;
  private boolean leaving;
  private boolean starting = true;
  private long startEndMs;
  private volatile boolean released = true;
  private Set<String> publishedEnginesWithOwner = Set.of();
  private volatile FleetView view = FleetView.EMPTY;
  private volatile QuotaShares quotaShares = QuotaShares.NONE;
  private long nextQuotaSharesMs;

  /** Creates the service; its view is empty until it is started. */
  public FleetService(
      ControlThread control,
      ServingSettings settings,
      ConfigurationSource configuration,
      TargetSource targetSource,
      RowStore store,
      EngineControl engines,
      PeerNetwork peers,
      InstanceDirectory directory,
      LocalLoadTracker localLoad,
      Metrics metrics,
      long incarnation) {
    this.control = control;
    this.ticker = new Ticker(control, this::tick, this::tickPeriodMs);
    this.settings = settings;
    this.configuration = configuration;
    this.targetSource = targetSource;
    this.peers = peers;
    this.directory = directory;
    this.stalenessLog = new StalenessLog(settings.freshness());
    this.knownInstances = new KnownInstances(settings.name());
    this.exchange =
        new FleetExchange(
            ControlThread::nowMs,
            new OverlayInstance(settings.name(), settings.domain(), settings.relayCapacity()),
            incarnation,
            peers,
            localLoad,
            this::ownerOf,
            settings.quotaBounds(),
            this);
    this.refusalTable =
        new RefusalTable(
            store, control, ControlThread::nowMs, System::currentTimeMillis, this::isFirst);
    this.engineOwner =
        new EngineOwner(
            control,
            store,
            engines,
            settings,
            metrics,
            engine ->
                usageTracker.usageAt(
                    engine,
                    key -> declaredVersions.getOrDefault(key, 0L),
                    exchange::usageReportLagMs),
            this::publishOwnedEngine);
  }

  /** Sets the listener that runs on the control thread after each new view. */
  public void setViewListener(Runnable listener) {
    viewListener = listener;
  }

  /** Sets the listener for what other instances have seen; it is called on the control thread. */
  public void setEventListener(FleetEventListener listener) {
    eventListener = listener;
  }

  /** Returns the newest view. */
  public FleetView view() {
    return view;
  }

  /** Returns the newest fractions of the limits of tenants that this instance may use. */
  public QuotaShares quotaShares() {
    return quotaShares;
  }

  private void updateQuotaShares() {
    nextQuotaSharesMs = ControlThread.nowMs() + QUOTA_SHARES_PERIOD_MS;
    exchange.quotas().setInstances(knownInstances.count(exchange.liveInstances()));
    quotaShares = exchange.quotaShares();
  }

  @Override
  public void start() {
    peers.addListener(this);
    control.setPauseListener(pauseMs -> engineOwner.suspendLeases());
    startEndMs = ControlThread.nowMs() + START_MS;
    directory.setListener(this::onInstancesRegistered);
    control.execute(
        () -> {
          configuration.subscribe(this, exchange.tables());
          targetSource.subscribe(this, exchange.tables());
          directory.start(exchange.tables());
          readRefusals();
        });
    control.execute(() -> ticker.schedule(ControlThread.nowMs()));
  }

  private void onInstancesRegistered(List<OverlayInstance> instances) {
    exchange.setInstances(instances);
    knownInstances.setRegistered(instances);
    updateInstances();
    schedulePublish();
  }

  private String ownerOf(String engine) {
    return engineOwner.ownerOf(engine);
  }

  /**
   * Reports to the other instances that this one is shutting down. It continues to command its
   * engines until {@link #releaseEngines}, since another instance may not command them for seconds
   * after that.
   */
  public void announceLeaving() {
    control.execute(
        () -> {
          leaving = true;
          ticker.schedule(ControlThread.nowMs());
        });
  }

  /** Starts to release the leases of all engines; called when the process is about to end. */
  public void releaseEngines() {
    control.execute(engineOwner::releaseLeases);
  }

  /** Returns whether this instance owns no engine. */
  public boolean isReleased() {
    return released;
  }

  @Override
  public void onPlan(RoutingPlan newPlan) {
    if (plan != null && newPlan.version() <= plan.version()) {
      return;
    }
    LOG.info("configuration_in_force", "version", newPlan.version());
    plan = newPlan;
    exchange.quotas().setLimits(newPlan.quotaLimits());
    exchange.configurationWatch().setAsking(hasTenants());
    updateEngines();
    schedulePublish();
  }

  @Override
  public void onConfigurationRow(StoreVersion rowVersion) {
    exchange.configurationWatch().freshness().recordRow(rowVersion);
  }

  @Override
  public void onConfigurationRead(long sentMs) {
    exchange.configurationWatch().freshness().recordRead(sentMs);
    onConfigurationConfirmed();
  }

  @Override
  public void onConfigurationShared() {
    exchange.configurationWatch().askSoon();
  }

  @Override
  public boolean mustReadConfiguration() {
    return hasTenants()
        && settings
            .freshness()
            .mustRead(
                exchange.configurationWatch().freshness().confirmedMs(), ControlThread.nowMs());
  }

  @Override
  public void onConfigurationConfirmed() {
    if (hasTenants()) {
      schedulePublish();
    }
  }

  private boolean hasTenants() {
    return plan != null && plan.hasTenants();
  }

  @Override
  public void onVersionDeclared(AdapterKey key, long version) {
    Long before = declaredVersions.get(key);
    if (before == null || before < version) {
      declaredVersions.put(key, version);
      LOG.info("version_declared", "adapter", key, "version", version);
      schedulePublish();
    }
  }

  @Override
  public void onTargets(List<TargetEntry> listed, Set<String> expiredIds) {
    targetRegistry.update(listed, expiredIds, ControlThread.nowMs());
    updateTargets();
  }

  @Override
  public void onStoreRecovered() {
    targetRegistry.onStoreRecovered(ControlThread.nowMs());
  }

  private void updateTargets() {
    List<TargetEntry> listed = targetRegistry.current(ControlThread.nowMs());
    if (listed.equals(targets)) {
      // Most changes of the table are heartbeats, which concern no other part.
      updateEnginesWithoutOwner();
      return;
    }
    targets = listed;
    Set<String> listedIds = new HashSet<>();
    for (TargetEntry target : listed) {
      listedIds.add(target.id());
      String before = incarnations.put(target.id(), target.incarnation());
      boolean restarted = !target.incarnation().equals(before);
      if (restarted) {
        warmCopies.remove(target.id());
      }
      if (restarted || engineOwner.ownerOf(target.id()) == null) {
        residencies.put(target.id(), Residency.of(target.resident()));
      }
      if (before == null && exchange.holdingsOf(target.id()) != null) {
        onHoldings(exchange.holdingsOf(target.id()));
      }
    }
    exchange.retainEngines(listedIds);
    exchange.speeds().setTargets(targets);
    residencies.keySet().retainAll(listedIds);
    warmCopies.keySet().retainAll(listedIds);
    incarnations.keySet().retainAll(listedIds);
    updateEngines();
    schedulePublish();
  }

  /** Replaces what a former owner published by what the engine itself reported. */
  private void updateEnginesWithoutOwner() {
    for (TargetEntry target : targets) {
      if (engineOwner.ownerOf(target.id()) == null) {
        Residency reported = Residency.of(target.resident());
        Residency before = residencies.put(target.id(), reported);
        // The traffic thread forgets which adapters an engine lacked when it gets a new report.
        if (!reported.resident().isEmpty() || !reported.equals(before)) {
          schedulePublish();
        }
      }
    }
    exchange.retainEngines(incarnations.keySet());
  }

  private void updateEngines() {
    if (plan != null) {
      engineOwner.onEnginesChanged(plan, targets);
    }
  }

  private void publishOwnedEngine(String engine, Residency residency) {
    setResidency(engine, residency);
    exchange.publishHoldings(Holdings.encode(engine, residency), engineOwner.fencingNumber(engine));
    scheduleUrgentTick();
    schedulePublish();
  }

  @Override
  public void requestLoad(String engine, SlotEvent.LoadRequested request) {
    control.execute(
        () -> {
          long nowMs = ControlThread.nowMs();
          sendToOwner(
              engine,
              new PeerMessage.AdapterWanted(
                  engine,
                  request.key().toString(),
                  request.version(),
                  request.deadlineMs() - nowMs,
                  request.latestStartMs() - nowMs));
        });
  }

  @Override
  public void reportMissing(String engine, AdapterKey key) {
    PeerMessage message = new PeerMessage.AdapterMissing(engine, key.toString());
    control.execute(() -> sendToOwner(engine, message));
  }

  /** Passes a message to the owner of an engine, which may be this instance. */
  private void sendToOwner(String engine, PeerMessage message) {
    String owner = engineOwner.ownerOf(engine);
    if (owner == null) {
      return;
    }
    InstanceId instance = new InstanceId(owner);
    if (settings.name().equals(owner)) {
      onMessage(instance, message);
    } else {
      exchange.sendToOwner(owner, message);
    }
  }

  @Override
  public void reportCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {
    Map<String, Integer> encoded = new LinkedHashMap<>();
    requestsByTrait.forEach((trait, requests) -> encoded.put(trait.encode(), requests));
    FleetState.TargetCrash crash = new FleetState.TargetCrash(incarnation, encoded);
    publishEvent(() -> exchange.publishCrash(crash));
  }

  @Override
  public void reportAnswer(Trait trait) {
    FleetState.TraitAnswered answer = new FleetState.TraitAnswered(trait.encode());
    publishEvent(
        () -> {
          exchange.publishAnswer(answer);
          refusalTable.end(answer.trait());
        });
  }

  @Override
  public void reportRefusal(Trait trait, long untilMs) {
    long remainingMs = untilMs - ControlThread.nowMs();
    FleetState.TraitRefused refusal = new FleetState.TraitRefused(trait.encode(), remainingMs);
    control.execute(
        () -> {
          exchange.publishRefusal(refusal);
          save(refusal);
        });
  }

  private void save(FleetState.TraitRefused refusal) {
    refusalTable.save(new RefusalTable.Refusal(refusal.trait(), refusal.remainingMs()));
  }

  /** Returns whether this instance does what one of the live instances has to do. */
  private boolean isFirst() {
    return exchange.liveInstances().stream().noneMatch(name -> name.compareTo(settings.name()) < 0);
  }

  private void readRefusals() {
    control.whenComplete(
        refusalTable.read(),
        (refusals, failure) -> {
          if (failure == null) {
            refusals.forEach(this::applySavedRefusal);
          } else {
            LOG.warn("refusals_not_read", "error", failure.toString());
            control.executeAt(ControlThread.nowMs() + REFUSAL_READ_RETRY_MS, this::readRefusals);
          }
        });
  }

  /** Applies a refusal from the store. Other instances may have seen answers since it was saved. */
  private void applySavedRefusal(RefusalTable.Refusal saved) {
    exchange.publishRefusal(new FleetState.TraitRefused(saved.trait(), saved.remainingMs()));
    applyRefusal(saved.trait(), saved.remainingMs());
  }

  @Override
  public void reportLimit(String incarnation, double perSecond) {
    FleetState.TargetLimit limit = new FleetState.TargetLimit(incarnation, perSecond);
    publishEvent(() -> exchange.publishLimit(limit));
  }

  @Override
  public void reportLimitEnd(String incarnation) {
    FleetState.TargetLimitEnd end = new FleetState.TargetLimitEnd(incarnation);
    publishEvent(() -> exchange.publishLimitEnd(end));
  }

  private void publishEvent(Runnable publication) {
    control.execute(
        () -> {
          publication.run();
          scheduleUrgentTick();
        });
  }

  @Override
  public void requestQuota(long number, String tenant, long amount) {
    PeerMessage.QuotaWanted wanted = new PeerMessage.QuotaWanted(number, tenant, amount);
    control.execute(() -> exchange.requestQuota(wanted));
  }

  @Override
  public void onQuotaLent(long number, boolean isLent) {
    eventListener.onQuotaLent(number, isLent);
  }

  @Override
  public void onHello(InstanceId peer, PeerMessage.Hello hello) {
    LOG.info("peer_linked", "peer", peer, "incarnation", hello.incarnation());
    exchange.onLinked(peer.value());
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    LOG.info("peer_lost", "peer", peer);
    exchange.onLinkClosed(peer.value());
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    if (!settings.name().equals(from.value()) && exchange.handle(from.value(), message)) {
      scheduleUrgentTick();
      return;
    }
    switch (message) {
      case PeerMessage.AdapterWanted wanted -> {
        if (!settings.name().equals(from.value())) {
          exchange.recordInterest(wanted.engine(), from.value());
        }
        engineOwner.requestLoad(wanted);
        if (engineOwner.hasActiveEngine()) {
          ticker.schedule(ControlThread.nowMs() + FAST_TICK_MS);
        }
      }
      case PeerMessage.AdapterMissing missing ->
          engineOwner.onAdapterMissing(missing.engine(), AdapterKey.parse(missing.adapter()));
      default -> LOG.debug("peer_message_unused", "peer", from, "type", message.getClass());
    }
  }

  @Override
  public void onHoldings(FleetState.EngineHoldings holdings) {
    if (!incarnations.containsKey(holdings.engine())) {
      return;
    }
    setResidency(holdings.engine(), Holdings.decode(holdings));
    schedulePublish();
  }

  /** Sets what an engine holds, and adds the adapters of which it keeps copies. */
  private void setResidency(String engine, Residency held) {
    WarmCopies copies =
        warmCopies.computeIfAbsent(engine, id -> new WarmCopies(WARM_COPIES_PER_ENGINE));
    copies.recordResident(held.resident().keySet());
    residencies.put(
        engine,
        new Residency(held.resident(), held.loading(), copies.adapters(), held.queuedLoads()));
  }

  @Override
  public void onLeasesPublished(String instance, Map<String, LeaseStatus> leases) {
    engineOwner.onLeasesReported(instance, leases);
  }

  @Override
  public void onInstancesHeard(Set<String> instances) {
    engineOwner.onHoldersHeard(instances);
  }

  @Override
  public void onInstanceSilent(String instance) {
    engineOwner.onHolderSilent(instance);
  }

  @Override
  public void onCrash(FleetState.TargetCrash crash) {
    Map<Trait, Integer> requestsByTrait = new LinkedHashMap<>();
    crash
        .requestsByTrait()
        .forEach(
            (text, requests) ->
                Trait.decode(text).ifPresent(trait -> requestsByTrait.put(trait, requests)));
    eventListener.onCrash(crash.target(), requestsByTrait);
  }

  @Override
  public void onAnswer(FleetState.TraitAnswered answer) {
    refusalTable.end(answer.trait());
    Trait.decode(answer.trait()).ifPresent(eventListener::onAnswer);
  }

  @Override
  public void onRefusal(FleetState.TraitRefused refusal) {
    save(refusal);
    applyRefusal(refusal.trait(), refusal.remainingMs());
  }

  @Override
  public void onLimit(FleetState.TargetLimit limit) {
    eventListener.onLimit(limit.target(), limit.perSecond());
  }

  @Override
  public void onLimitEnd(FleetState.TargetLimitEnd end) {
    eventListener.onLimitEnd(end.target());
  }

  private void applyRefusal(String encodedTrait, long remainingMs) {
    long untilMs = ControlThread.nowMs() + remainingMs;
    Trait.decode(encodedTrait).ifPresent(trait -> eventListener.onRefusal(trait, untilMs));
  }

  @Override
  public void onArrivals(Map<String, Integer> arrivals) {
    Map<AdapterKey, Integer> counts = new HashMap<>();
    arrivals.forEach((key, count) -> counts.put(AdapterKey.parse(key), count));
    usageTracker.addArrivals(counts);
  }

  @Override
  public void onAdaptersInUse(String relay, Map<String, List<String>> inUse) {
    Map<String, Set<String>> sets = new HashMap<>();
    inUse.forEach((engine, adapters) -> sets.put(engine, Set.copyOf(adapters)));
    usageTracker.setAdaptersInUse(relay, sets);
  }

  @Override
  public void onUseSilent(String relay) {
    usageTracker.removeInstance(relay);
  }

  @Override
  public void onLoadsChanged() {
    schedulePublish();
  }

  @Override
  public void onInstancesChanged() {
    updateInstances();
    schedulePublish();
  }

  private void updateInstances() {
    Map<String, String> domains = new HashMap<>();
    Set<String> candidates = new HashSet<>(exchange.liveInstances());
    if (starting) {
      directory.otherInstances().forEach(instance -> candidates.add(instance.value()));
    }
    candidates.removeIf(exchange::isLeaving);
    candidates.forEach(name -> domains.put(name, directory.domainOf(new InstanceId(name))));
    domains.put(settings.name(), settings.domain());
    engineOwner.onInstancesChanged(domains);
  }

  /** Schedules a tick for the time at which urgent entries may be sent. */
  private void scheduleUrgentTick() {
    long earliestMs = ControlThread.nowMs() + FAST_TICK_MS;
    exchange.urgentDueMs().ifPresent(dueMs -> ticker.schedule(Math.max(dueMs, earliestMs)));
  }

  private long tickPeriodMs() {
    scheduleUrgentTick();
    return leaving || engineOwner.hasActiveEngine() ? FAST_TICK_MS : TICK_MS;
  }

  private void tick() {
    engineOwner.tick();
    released = engineOwner.isReleased();
    if (plan != null) {
      long confirmedMs = exchange.configurationWatch().freshness().confirmedMs();
      stalenessLog.update(plan, confirmedMs, ControlThread.nowMs());
    }
    exchange.tick(leaving, engineOwner.leaseStatuses());
    refusalTable.tick();
    directory.tick();
    long nowMs = ControlThread.nowMs();
    if (nowMs >= nextQuotaSharesMs) {
      updateQuotaShares();
    }
    if (starting && nowMs >= startEndMs) {
      starting = false;
      updateInstances();
    }
    if (targetRegistry.hasExpiredTargets()
        && targetRegistry.current(nowMs).size() < targets.size()) {
      updateTargets();
    }
    if (!engineOwner.enginesWithOwner(targets).equals(publishedEnginesWithOwner)) {
      schedulePublish();
    }
  }

  private void schedulePublish() {
    if (!publishScheduled) {
      publishScheduled = true;
      control.execute(this::publish);
    }
  }

  private void publish() {
    publishScheduled = false;
    publishedEnginesWithOwner = engineOwner.enginesWithOwner(targets);
    view =
        new FleetView(
            plan,
            exchange.configurationWatch().freshness().confirmedMs(),
            targets.stream()
                .filter(target -> !target.leaving())
                .collect(Collectors.groupingBy(TargetEntry::service)),
            Map.copyOf(residencies),
            publishedEnginesWithOwner,
            Map.copyOf(declaredVersions),
            exchange.peerLoads(),
            exchange.allInstances(),
            knownInstances.count(exchange.liveInstances()),
            exchange.usesRelays(),
            exchange.speeds().slowness(ControlThread.nowMs()));
    viewListener.run();
  }
}
