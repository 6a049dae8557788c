package org.apricotstand.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.dispatch.TargetRegistry;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
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
import org.apricotstand.request.FleetNotifier;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.residency.WarmCopies;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;

/**
 * Collects the state of targets, engines and peers on the control thread and publishes it as a
 * {@link FleetView}. Exchanges load reports with the peers and routes load requests to the owners
 * of the engines.
 */
public final class FleetService
    implements Service, ConfigurationListener, TargetListener, PeerListener, FleetNotifier {

  private static final EventLog LOG = EventLog.of(FleetService.class);
  private static final long TICK_MS = 20;
  private static final long MIN_REPORT_PERIOD_MS = 150;
  private static final long MAX_REPORT_PERIOD_MS = 500;

  /** Lengthens the report period with the number of instances, to bound the total of messages. */
  private static final long REPORT_PERIOD_PER_INSTANCE_MS = 20;

  /** Time until a report has been received and processed by a busy instance. */
  private static final long MESSAGE_DELAY_MS = 100;

  private static final long PEER_TIMEOUT_MS = 1_500;
  private static final long RECONNECT_PERIOD_MS = 1_000;

  /** Number of adapters of which an engine keeps copies. */
  private static final int WARM_COPIES_PER_ENGINE = 100;

  private final ControlThread control;
  private final ServingSettings settings;
  private final ConfigurationSource configuration;
  private final TargetSource targetSource;
  private final PeerNetwork peers;
  private final InstanceDirectory directory;
  private final LocalLoadTracker localLoad;
  private final EngineOwner engineOwner;
  private final TargetRegistry targetRegistry = new TargetRegistry();
  private final AdapterUsageTracker usageTracker = new AdapterUsageTracker();
  private final Map<AdapterKey, Long> declaredVersions = new HashMap<>();
  private final Map<String, Residency> residencies = new HashMap<>();
  private final Map<String, WarmCopies> warmCopies = new HashMap<>();
  private final Map<String, String> incarnations = new HashMap<>();
  private final Map<String, PeerState> livePeers = new HashMap<>();
  private final Map<String, Long> lastReconnectMs = new HashMap<>();
  private Runnable viewListener = () -> {};
  private BiConsumer<String, String> crashListener = (fingerprint, incarnation) -> {};
  private RoutingPlan plan;
  private List<TargetEntry> targets = List.of();
  private boolean publishScheduled;
  private boolean leaving;
  private volatile boolean released = true;
  private Set<String> publishedEnginesWithOwner = Set.of();
  private volatile FleetView view = FleetView.EMPTY;

  private record PeerState(Map<String, TargetLoad> loads, boolean leaving, long reportedAtMs) {}

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
      Metrics metrics) {
    this.control = control;
    this.settings = settings;
    this.configuration = configuration;
    this.targetSource = targetSource;
    this.peers = peers;
    this.directory = directory;
    this.localLoad = localLoad;
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
                    () -> reportPeriodMs() + MESSAGE_DELAY_MS),
            this::publishOwnedEngine);
  }

  /** Sets the listener that runs on the control thread after each new view. */
  public void setViewListener(Runnable listener) {
    viewListener = listener;
  }

  /**
   * Sets the listener for crashes that other instances report. It gets the fingerprint of the
   * request and the incarnation of the target that crashed.
   */
  public void setCrashListener(BiConsumer<String, String> listener) {
    crashListener = listener;
  }

  /** Returns the newest view. */
  public FleetView view() {
    return view;
  }

  @Override
  public void start() {
    peers.addListener(this);
    control.setPauseListener(pauseMs -> engineOwner.suspendLeases());
    control.execute(
        () -> {
          configuration.subscribe(this);
          targetSource.subscribe(this);
          directory.start();
        });
    control.executeEvery(TICK_MS, this::tick);
    control.execute(this::reportRegularly);
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
          sendReports();
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
    updateEngines();
    schedulePublish();
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
  public void onTargets(List<TargetEntry> listed) {
    targetRegistry.update(listed, ControlThread.nowMs());
    updateTargets();
  }

  @Override
  public void onStoreRecovered() {
    targetRegistry.onStoreRecovered(ControlThread.nowMs());
  }

  private void updateTargets() {
    List<TargetEntry> listed = targetRegistry.current(ControlThread.nowMs());
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
    }
    residencies.keySet().retainAll(listedIds);
    warmCopies.keySet().retainAll(listedIds);
    incarnations.keySet().retainAll(listedIds);
    updateEngines();
    schedulePublish();
  }

  private void updateEngines() {
    Map<TargetEntry, EngineSpec> engines = new HashMap<>();
    if (plan != null) {
      targets.stream()
          .filter(target -> !target.leaving())
          .forEach(
              target ->
                  plan.service(target.service())
                      .flatMap(ServiceSpec::engine)
                      .ifPresent(spec -> engines.put(target, spec)));
    }
    engineOwner.onEnginesChanged(engines);
  }

  private void publishOwnedEngine(String engine, Residency residency) {
    setResidency(engine, residency.resident(), residency.loading(), residency.queuedLoads());
    broadcast(holdingsMessage(engine, residency));
    schedulePublish();
  }

  private void broadcast(PeerMessage message) {
    directory.otherInstances().stream()
        .filter(this::isLive)
        .forEach(peer -> peers.send(peer, message));
  }

  private static PeerMessage holdingsMessage(String engine, Residency residency) {
    Map<String, Long> resident = new TreeMap<>();
    residency.resident().forEach((key, version) -> resident.put(key.toString(), version));
    List<String> loading = residency.loading().stream().map(AdapterKey::toString).toList();
    return new PeerMessage.EngineHoldings(engine, resident, loading, residency.queuedLoads());
  }

  private boolean isLive(InstanceId peer) {
    return livePeers.containsKey(peer.value());
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
      peers.send(instance, message);
    }
  }

  @Override
  public void reportCrash(String fingerprint, String incarnation) {
    PeerMessage message = new PeerMessage.CrashNoted(fingerprint, incarnation);
    control.execute(() -> broadcast(message));
  }

  @Override
  public void onHello(InstanceId peer, PeerMessage.Hello hello) {
    LOG.info("peer_linked", "peer", peer, "incarnation", hello.incarnation());
    engineOwner
        .residencies()
        .forEach((engine, residency) -> peers.send(peer, holdingsMessage(engine, residency)));
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    LOG.info("peer_lost", "peer", peer);
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.LoadReport report -> applyLoadReport(from, report);
      case PeerMessage.AdapterWanted wanted ->
          engineOwner.requestLoad(wanted.engine(), toLoadRequest(wanted));
      case PeerMessage.AdapterMissing missing ->
          engineOwner.onAdapterMissing(missing.engine(), AdapterKey.parse(missing.adapter()));
      case PeerMessage.EngineHoldings holdings -> applyHoldings(holdings);
      case PeerMessage.CrashNoted(String fingerprint, String incarnation) ->
          crashListener.accept(fingerprint, incarnation);
      default -> LOG.debug("peer_message_unused", "peer", from, "type", message.getClass());
    }
  }

  private static SlotEvent.LoadRequested toLoadRequest(PeerMessage.AdapterWanted wanted) {
    long nowMs = ControlThread.nowMs();
    return new SlotEvent.LoadRequested(
        AdapterKey.parse(wanted.adapter()),
        wanted.version(),
        nowMs + wanted.remainingMs(),
        nowMs + wanted.onTimeRemainingMs());
  }

  private void applyHoldings(PeerMessage.EngineHoldings holdings) {
    if (!incarnations.containsKey(holdings.engine())) {
      return;
    }
    Map<AdapterKey, Long> resident = new HashMap<>();
    holdings.resident().forEach((key, version) -> resident.put(AdapterKey.parse(key), version));
    Set<AdapterKey> loading =
        holdings.arriving().stream().map(AdapterKey::parse).collect(Collectors.toSet());
    setResidency(holdings.engine(), resident, loading, holdings.queuedLoads());
    schedulePublish();
  }

  private void setResidency(
      String engine, Map<AdapterKey, Long> resident, Set<AdapterKey> loading, int queuedLoads) {
    WarmCopies copies =
        warmCopies.computeIfAbsent(engine, id -> new WarmCopies(WARM_COPIES_PER_ENGINE));
    copies.recordResident(resident.keySet());
    residencies.put(engine, new Residency(resident, loading, copies.adapters(), queuedLoads));
  }

  private void applyLoadReport(InstanceId from, PeerMessage.LoadReport report) {
    Map<String, TargetLoad> loads = new HashMap<>();
    report.started().forEach((id, count) -> loads.put(id, new TargetLoad(count, 0)));
    report.waiting().forEach((id, n) -> loads.merge(id, new TargetLoad(0, n), TargetLoad::plus));
    PeerState before =
        livePeers.put(from.value(), new PeerState(loads, report.leaving(), ControlThread.nowMs()));
    Map<AdapterKey, Integer> arrivals = new HashMap<>();
    report.arrivals().forEach((key, count) -> arrivals.put(AdapterKey.parse(key), count));
    usageTracker.addArrivals(arrivals);
    Map<String, Set<String>> inUse = new HashMap<>();
    report.inUse().forEach((engine, adapters) -> inUse.put(engine, Set.copyOf(adapters)));
    usageTracker.setAdaptersInUse(from.value(), inUse);
    engineOwner.onLeasesReported(from.value(), report.leases());
    if (before == null || before.leaving != report.leaving()) {
      updateInstances();
    }
    schedulePublish();
  }

  private void updateInstances() {
    Map<String, String> domains = new HashMap<>();
    livePeers.forEach(
        (name, peer) -> {
          if (!peer.leaving) {
            domains.put(name, directory.domainOf(new InstanceId(name)));
          }
        });
    domains.put(settings.name(), settings.domain());
    engineOwner.onInstancesChanged(domains);
  }

  private void tick() {
    engineOwner.tick();
    released = engineOwner.isReleased();
    long nowMs = ControlThread.nowMs();
    if (targetRegistry.hasExpiredTargets()
        && targetRegistry.current(nowMs).size() < targets.size()) {
      updateTargets();
    }
    List<String> silentPeers =
        livePeers.entrySet().stream()
            .filter(entry -> nowMs - entry.getValue().reportedAtMs > PEER_TIMEOUT_MS)
            .map(Map.Entry::getKey)
            .toList();
    silentPeers.forEach(
        peer -> {
          LOG.info("peer_silent", "peer", peer);
          livePeers.remove(peer);
          usageTracker.removeInstance(peer);
          peers.disconnect(new InstanceId(peer));
        });
    if (!silentPeers.isEmpty()) {
      updateInstances();
    }
    if (!silentPeers.isEmpty() || !enginesWithOwner().equals(publishedEnginesWithOwner)) {
      schedulePublish();
    }
  }

  private Set<String> enginesWithOwner() {
    return targets.stream()
        .filter(target -> !target.leaving())
        .map(TargetEntry::id)
        .filter(engine -> engineOwner.ownerOf(engine) != null)
        .collect(Collectors.toSet());
  }

  private void reportRegularly() {
    control.executeAt(ControlThread.nowMs() + reportPeriodMs(), this::reportRegularly);
    sendReports();
  }

  private long reportPeriodMs() {
    long periodMs = REPORT_PERIOD_PER_INSTANCE_MS * (1 + livePeers.size());
    return Math.clamp(periodMs, MIN_REPORT_PERIOD_MS, MAX_REPORT_PERIOD_MS);
  }

  private void sendReports() {
    Map<AdapterKey, Integer> arrivals = localLoad.takeArrivals();
    usageTracker.addArrivals(arrivals);
    Map<String, Set<String>> adaptersInUse = localLoad.adaptersInUse();
    usageTracker.setAdaptersInUse(settings.name(), adaptersInUse);
    Map<String, Integer> started = new TreeMap<>();
    Map<String, Integer> waiting = new TreeMap<>();
    localLoad
        .loadsByTarget()
        .forEach(
            (id, load) -> {
              started.put(id, load.started());
              waiting.put(id, load.waiting());
            });
    Map<String, List<String>> inUse = new TreeMap<>();
    adaptersInUse.forEach((engine, adapters) -> inUse.put(engine, List.copyOf(adapters)));
    Map<String, Integer> arrivalCounts = new TreeMap<>();
    arrivals.forEach((key, count) -> arrivalCounts.put(key.toString(), count));
    PeerMessage message =
        new PeerMessage.LoadReport(
            started, waiting, inUse, arrivalCounts, engineOwner.leaseStatuses(), leaving);
    directory.otherInstances().stream()
        .filter(this::isReportDue)
        .forEach(peer -> peers.send(peer, message));
  }

  private boolean isReportDue(InstanceId peer) {
    if (isLive(peer)) {
      return true;
    }
    long nowMs = ControlThread.nowMs();
    if (nowMs - lastReconnectMs.getOrDefault(peer.value(), Long.MIN_VALUE / 2)
        < RECONNECT_PERIOD_MS) {
      return false;
    }
    lastReconnectMs.put(peer.value(), nowMs);
    return true;
  }

  private void schedulePublish() {
    if (!publishScheduled) {
      publishScheduled = true;
      control.execute(this::publish);
    }
  }

  private void publish() {
    publishScheduled = false;
    Map<String, TargetLoad> peerLoads = new HashMap<>();
    livePeers
        .values()
        .forEach(
            peer -> peer.loads.forEach((id, load) -> peerLoads.merge(id, load, TargetLoad::plus)));
    publishedEnginesWithOwner = enginesWithOwner();
    view =
        new FleetView(
            plan,
            targets.stream()
                .filter(target -> !target.leaving())
                .collect(Collectors.groupingBy(TargetEntry::service)),
            Map.copyOf(residencies),
            publishedEnginesWithOwner,
            Map.copyOf(declaredVersions),
            peerLoads,
            1 + livePeers.size());
    viewListener.run();
  }
}
