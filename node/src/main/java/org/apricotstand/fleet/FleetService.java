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
import org.apricotstand.port.FrontSettings;
import org.apricotstand.port.RowStore;
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

/** Collects what is known of the fleet on the control thread and publishes it as a view. */
public final class FleetService
    implements Service, ConfigurationListener, TargetListener, PeerListener, FleetNotifier {

  private static final EventLog LOG = EventLog.of(FleetService.class);
  private static final long TICK_MS = 20;
  private static final long MIN_REPORT_MS = 150;
  private static final long MAX_REPORT_MS = 500;

  /** Bounds the messages of all instances together as their number grows. */
  private static final long REPORT_MS_PER_INSTANCE = 20;

  /** Time for a message to arrive and to be read at a busy instance. */
  private static final long MESSAGE_MS = 100;

  private static final long SILENCE_MS = 1_500;
  private static final long RECONNECT_MS = 1_000;

  /** Adapters of which an engine keeps copies. */
  private static final int WARM_ADAPTERS = 100;

  private final ControlThread control;
  private final FrontSettings settings;
  private final ConfigurationSource configuration;
  private final TargetSource targetSource;
  private final PeerNetwork peers;
  private final InstanceDirectory directory;
  private final LoadBoard board;
  private final EngineOwner owner;
  private final TargetRegistry roster = new TargetRegistry();
  private final Popularity popularity = new Popularity();
  private final Map<AdapterKey, Long> versions = new HashMap<>();
  private final Map<String, Residency> residency = new HashMap<>();
  private final Map<String, WarmCopies> warm = new HashMap<>();
  private final Map<String, String> incarnations = new HashMap<>();
  private final Map<String, Peer> heard = new HashMap<>();
  private final Map<String, Long> triedMs = new HashMap<>();
  private Runnable viewListener = () -> {};
  private BiConsumer<String, String> crashListener = (fingerprint, incarnation) -> {};
  private RoutingPlan plan;
  private List<TargetEntry> targets = List.of();
  private boolean publishing;
  private boolean leaving;
  private volatile boolean released = true;
  private Set<String> lastCommandable = Set.of();
  private volatile FleetView view = FleetView.EMPTY;

  private record Peer(Map<String, TargetLoad> loads, boolean leaving, long atMs) {}

  /** Creates the service; nothing is known before its start. */
  public FleetService(
      ControlThread control,
      FrontSettings settings,
      ConfigurationSource configuration,
      TargetSource targetSource,
      RowStore store,
      EngineControl engines,
      PeerNetwork peers,
      InstanceDirectory directory,
      LoadBoard board,
      Metrics metrics) {
    this.control = control;
    this.settings = settings;
    this.configuration = configuration;
    this.targetSource = targetSource;
    this.peers = peers;
    this.directory = directory;
    this.board = board;
    this.owner =
        new EngineOwner(
            control,
            store,
            engines,
            settings,
            metrics,
            engine ->
                popularity.at(
                    engine,
                    key -> versions.getOrDefault(key, 0L),
                    () -> reportPeriodMs() + MESSAGE_MS),
            this::ownEngineChanged);
  }

  /** Sets what runs after each new view, on the control thread. */
  public void onView(Runnable listener) {
    viewListener = listener;
  }

  /** Sets what hears of crashes at other instances: fingerprint and incarnation. */
  public void onCrash(BiConsumer<String, String> listener) {
    crashListener = listener;
  }

  /** Returns the newest view. */
  public FleetView view() {
    return view;
  }

  @Override
  public void start() {
    peers.listen(this);
    control.onPause(pauseMs -> owner.paused());
    control.execute(
        () -> {
          configuration.follow(this);
          targetSource.follow(this);
          directory.start();
        });
    control.executeEvery(TICK_MS, this::tick);
    control.execute(this::reportRegularly);
  }

  /**
   * Tells the others that the instance shuts down. It commands its engines until {@link #release},
   * since another instance may not command them for seconds.
   */
  public void leave() {
    control.execute(
        () -> {
          leaving = true;
          report();
        });
  }

  /** Gives up all engines; called when the process is about to end. */
  public void release() {
    control.execute(owner::release);
  }

  /** Returns whether no engine is owned any longer. */
  public boolean isReleased() {
    return released;
  }

  @Override
  public void onPlan(RoutingPlan read) {
    if (plan != null && read.version() <= plan.version()) {
      return;
    }
    LOG.info("configuration_in_force", "version", read.version());
    plan = read;
    enginesChanged();
    changed();
  }

  @Override
  public void onVersion(AdapterKey key, long version) {
    Long before = versions.get(key);
    if (before == null || before < version) {
      versions.put(key, version);
      LOG.info("version_declared", "adapter", key, "version", version);
      changed();
    }
  }

  @Override
  public void onTargets(List<TargetEntry> listed) {
    roster.update(listed, ControlThread.nowMs());
    targetsChanged();
  }

  @Override
  public void onRegained() {
    roster.onStoreRecovered(ControlThread.nowMs());
  }

  private void targetsChanged() {
    List<TargetEntry> listed = roster.current(ControlThread.nowMs());
    targets = listed;
    Set<String> live = new HashSet<>();
    for (TargetEntry target : listed) {
      live.add(target.id());
      String before = incarnations.put(target.id(), target.incarnation());
      boolean restarted = !target.incarnation().equals(before);
      if (restarted) {
        warm.remove(target.id());
      }
      if (restarted || owner.ownerOf(target.id()) == null) {
        residency.put(target.id(), Residency.of(target.holdings()));
      }
    }
    residency.keySet().retainAll(live);
    warm.keySet().retainAll(live);
    incarnations.keySet().retainAll(live);
    enginesChanged();
    changed();
  }

  private void enginesChanged() {
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
    owner.enginesChanged(engines);
  }

  private void ownEngineChanged(String engine, Residency held) {
    note(engine, held.resident(), held.arriving(), held.queuedLoads());
    broadcast(holdings(engine, held));
    changed();
  }

  private void broadcast(PeerMessage message) {
    directory.others().stream().filter(this::isHeard).forEach(peer -> peers.send(peer, message));
  }

  private static PeerMessage holdings(String engine, Residency held) {
    Map<String, Long> resident = new TreeMap<>();
    held.resident().forEach((key, version) -> resident.put(key.toString(), version));
    List<String> arriving = held.arriving().stream().map(AdapterKey::toString).toList();
    return new PeerMessage.EngineHoldings(engine, resident, arriving, held.queuedLoads());
  }

  private boolean isHeard(InstanceId peer) {
    return heard.containsKey(peer.value());
  }

  @Override
  public void requestLoad(String engine, SlotEvent.Wanted wanted) {
    control.execute(
        () -> {
          long nowMs = ControlThread.nowMs();
          toOwner(
              engine,
              new PeerMessage.AdapterWanted(
                  engine,
                  wanted.key().toString(),
                  wanted.version(),
                  wanted.deadlineMs() - nowMs,
                  wanted.onTimeUntilMs() - nowMs));
        });
  }

  @Override
  public void reportMissing(String engine, AdapterKey key) {
    PeerMessage message = new PeerMessage.AdapterMissing(engine, key.toString());
    control.execute(() -> toOwner(engine, message));
  }

  /** Brings a message to the owner of an engine, which may be this instance. */
  private void toOwner(String engine, PeerMessage message) {
    String holder = owner.ownerOf(engine);
    if (holder == null) {
      return;
    }
    InstanceId instance = new InstanceId(holder);
    if (settings.name().equals(holder)) {
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
    owner.residencies().forEach((engine, held) -> peers.send(peer, holdings(engine, held)));
  }

  @Override
  public void onLinkClosed(InstanceId peer) {
    LOG.info("peer_lost", "peer", peer);
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    switch (message) {
      case PeerMessage.LoadReport report -> reported(from, report);
      case PeerMessage.AdapterWanted wanted -> owner.want(wanted.engine(), demand(wanted));
      case PeerMessage.AdapterMissing missing ->
          owner.missing(missing.engine(), AdapterKey.parse(missing.adapter()));
      case PeerMessage.EngineHoldings holdings -> held(holdings);
      case PeerMessage.CrashNoted(String fingerprint, String incarnation) ->
          crashListener.accept(fingerprint, incarnation);
      default -> LOG.debug("peer_message_unused", "peer", from, "type", message.getClass());
    }
  }

  private static SlotEvent.Wanted demand(PeerMessage.AdapterWanted wanted) {
    long nowMs = ControlThread.nowMs();
    return new SlotEvent.Wanted(
        AdapterKey.parse(wanted.adapter()),
        wanted.version(),
        nowMs + wanted.remainingMs(),
        nowMs + wanted.onTimeRemainingMs());
  }

  private void held(PeerMessage.EngineHoldings holdings) {
    if (!incarnations.containsKey(holdings.engine())) {
      return;
    }
    Map<AdapterKey, Long> resident = new HashMap<>();
    holdings.resident().forEach((key, version) -> resident.put(AdapterKey.parse(key), version));
    Set<AdapterKey> arriving =
        holdings.arriving().stream().map(AdapterKey::parse).collect(Collectors.toSet());
    note(holdings.engine(), resident, arriving, holdings.queuedLoads());
    changed();
  }

  private void note(
      String engine, Map<AdapterKey, Long> resident, Set<AdapterKey> arriving, int queuedLoads) {
    WarmCopies copies = warm.computeIfAbsent(engine, id -> new WarmCopies(WARM_ADAPTERS));
    copies.held(resident.keySet());
    residency.put(engine, new Residency(resident, arriving, copies.adapters(), queuedLoads));
  }

  private void reported(InstanceId from, PeerMessage.LoadReport report) {
    Map<String, TargetLoad> loads = new HashMap<>();
    report.started().forEach((id, count) -> loads.put(id, new TargetLoad(count, 0)));
    report.waiting().forEach((id, n) -> loads.merge(id, new TargetLoad(0, n), TargetLoad::plus));
    Peer before = heard.put(from.value(), new Peer(loads, report.leaving(), ControlThread.nowMs()));
    Map<AdapterKey, Integer> arrivals = new HashMap<>();
    report.arrivals().forEach((key, count) -> arrivals.put(AdapterKey.parse(key), count));
    popularity.arrived(arrivals);
    Map<String, Set<String>> inUse = new HashMap<>();
    report.inUse().forEach((engine, adapters) -> inUse.put(engine, Set.copyOf(adapters)));
    popularity.uses(from.value(), inUse);
    owner.ownerHeard(from.value(), report.leases());
    if (before == null || before.leaving != report.leaving()) {
      instancesChanged();
    }
    changed();
  }

  private void instancesChanged() {
    Map<String, String> domains = new HashMap<>();
    heard.forEach(
        (name, peer) -> {
          if (!peer.leaving) {
            domains.put(name, directory.domainOf(new InstanceId(name)));
          }
        });
    domains.put(settings.name(), settings.domain());
    owner.instancesChanged(domains);
  }

  private void tick() {
    owner.tick();
    released = owner.isReleased();
    long nowMs = ControlThread.nowMs();
    if (roster.hasExpiredTargets() && roster.current(nowMs).size() < targets.size()) {
      targetsChanged();
    }
    List<String> silent =
        heard.entrySet().stream()
            .filter(entry -> nowMs - entry.getValue().atMs > SILENCE_MS)
            .map(Map.Entry::getKey)
            .toList();
    silent.forEach(
        peer -> {
          LOG.info("peer_silent", "peer", peer);
          heard.remove(peer);
          popularity.forget(peer);
          peers.disconnect(new InstanceId(peer));
        });
    if (!silent.isEmpty()) {
      instancesChanged();
    }
    if (!silent.isEmpty() || !commandable().equals(lastCommandable)) {
      changed();
    }
  }

  private Set<String> commandable() {
    return targets.stream()
        .filter(target -> !target.leaving())
        .map(TargetEntry::id)
        .filter(engine -> owner.ownerOf(engine) != null)
        .collect(Collectors.toSet());
  }

  private void reportRegularly() {
    control.executeAt(ControlThread.nowMs() + reportPeriodMs(), this::reportRegularly);
    report();
  }

  private long reportPeriodMs() {
    long periodMs = REPORT_MS_PER_INSTANCE * (1 + heard.size());
    return Math.clamp(periodMs, MIN_REPORT_MS, MAX_REPORT_MS);
  }

  private void report() {
    Map<AdapterKey, Integer> arrivals = board.takeArrivals();
    popularity.arrived(arrivals);
    Map<String, Set<String>> adaptersInUse = board.adaptersInUse();
    popularity.uses(settings.name(), adaptersInUse);
    Map<String, Integer> started = new TreeMap<>();
    Map<String, Integer> waiting = new TreeMap<>();
    board
        .loads()
        .forEach(
            (id, load) -> {
              started.put(id, load.started());
              waiting.put(id, load.waiting());
            });
    Map<String, List<String>> inUse = new TreeMap<>();
    adaptersInUse.forEach((engine, adapters) -> inUse.put(engine, List.copyOf(adapters)));
    Map<String, Integer> counts = new TreeMap<>();
    arrivals.forEach((key, count) -> counts.put(key.toString(), count));
    PeerMessage message =
        new PeerMessage.LoadReport(started, waiting, inUse, counts, owner.standings(), leaving);
    directory.others().stream().filter(this::isDue).forEach(peer -> peers.send(peer, message));
  }

  private boolean isDue(InstanceId peer) {
    if (isHeard(peer)) {
      return true;
    }
    long nowMs = ControlThread.nowMs();
    if (nowMs - triedMs.getOrDefault(peer.value(), Long.MIN_VALUE / 2) < RECONNECT_MS) {
      return false;
    }
    triedMs.put(peer.value(), nowMs);
    return true;
  }

  private void changed() {
    if (!publishing) {
      publishing = true;
      control.execute(this::publish);
    }
  }

  private void publish() {
    publishing = false;
    Map<String, TargetLoad> peerLoads = new HashMap<>();
    heard
        .values()
        .forEach(
            peer -> peer.loads.forEach((id, load) -> peerLoads.merge(id, load, TargetLoad::plus)));
    lastCommandable = commandable();
    view =
        new FleetView(
            plan,
            targets.stream()
                .filter(target -> !target.leaving())
                .collect(Collectors.groupingBy(TargetEntry::service)),
            Map.copyOf(residency),
            lastCommandable,
            Map.copyOf(versions),
            peerLoads,
            1 + heard.size());
    viewListener.run();
  }
}
