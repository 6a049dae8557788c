package org.apricotstand.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.overlay.OverlayInstance;
import org.apricotstand.peer.FleetState;
import org.apricotstand.peer.PeerLinks;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.port.RowChange;
import org.apricotstand.port.TableSharing;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.residency.AdapterKey;

/**
 * Instances that exchange their state over simulated links, in one thread and with a simulated
 * clock. Each instance owns one engine, named after it. Links deliver in order; they lose what is
 * sent across a cut and hold what is sent to a suspended process.
 */
final class SimulatedFleet {

  static final String TABLE = "table";
  static final long READ_PERIOD_MS = 1_000;

  private static final long TICK_MS = 20;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long RESTART_MS = 700;
  private static final long FIRST_READ_MS = 300;
  private static final int MAX_FAULT_DELAY_MS = 3_000;

  private final Random random;
  private final Map<String, Instance> instances = new TreeMap<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
  private final Set<OverlayInstance> registered = new LinkedHashSet<>();
  private final Set<String> cutDomains = new HashSet<>();
  private Consumer<Instance> startListener = Instance::readRegistered;
  private final Random faults;
  private boolean hasLoanFaults;
  private long nowMs = 1_000;
  private long taskNumber;

  private record Task(long atMs, long number, Runnable action) {}

  /** Creates instances that start within 300 ms of each other. */
  SimulatedFleet(int size, int domains, long seed) {
    random = new Random(seed);
    faults = new Random(seed);
    for (int i = 0; i < size; i++) {
      OverlayInstance identity =
          new OverlayInstance("n" + i, "d" + i % domains, 14 + random.nextInt(4) * 40);
      instances.put(identity.name(), new Instance(identity));
    }
    instances.values().forEach(instance -> at(nowMs + random.nextInt(300), instance::start));
  }

  /**
   * Sets what runs when an instance starts, instead of finding the others without a store; to be
   * set before the fleet runs.
   */
  void setStartListener(Consumer<Instance> listener) {
    startListener = listener;
  }

  /** Adds an instance that is started now. */
  Instance add(String name, String domain) {
    Instance instance = new Instance(new OverlayInstance(name, domain, 0));
    instances.put(name, instance);
    at(nowMs, instance::start);
    return instance;
  }

  /** Receives the answers of the relay to requests for credit. */
  interface QuotaListener {
    void onQuotaLent(long number, boolean isLent);
  }

  /** One process and what it learnt. */
  final class Instance implements FleetExchangeListener, PeerLinks, TableSharing.Listener {
    final OverlayInstance identity;
    final Map<String, FleetState.EngineHoldings> holdings = new HashMap<>();
    final Map<String, Map<String, LeaseStatus>> leases = new HashMap<>();
    final Map<String, Map<String, List<String>>> adaptersInUse = new HashMap<>();
    final List<String> silentInstances = new ArrayList<>();
    final List<FleetState.TargetCrash> crashes = new ArrayList<>();
    final List<FleetState.TraitAnswered> answers = new ArrayList<>();
    final List<FleetState.TraitRefused> refusals = new ArrayList<>();
    final List<FleetState.TargetLimit> limits = new ArrayList<>();
    final Map<String, RowChange> rows = new HashMap<>();
    StoreVersion tableVersion = StoreVersion.NONE;
    int recoveries;
    final Map<String, Long> deliveryFreeMs = new HashMap<>();
    final Set<String> links = new HashSet<>();
    LocalLoadTracker load = new LocalLoadTracker();
    QuotaListener quotaListener = (number, isLent) -> {};
    FleetExchange exchange;
    KnownInstances known;
    boolean running;
    boolean leaving;
    long suspendedUntilMs;
    long slownessMs;
    long incarnation;
    long messages;
    Runnable tickListener = () -> {};
    private int holdingsVersion;

    private Instance(OverlayInstance identity) {
      this.identity = identity;
    }

    private void start() {
      incarnation = nowMs;
      running = true;
      load = new LocalLoadTracker();
      known = new KnownInstances(identity.name());
      holdings.clear();
      leases.clear();
      links.clear();
      exchange =
          new FleetExchange(
              () -> nowMs,
              identity,
              incarnation,
              this,
              load,
              target -> ownerOf(target),
              QuotaBounds.DEFAULT,
              this);
      exchange.tables().subscribe(TABLE, READ_PERIOD_MS, this);
      registered.add(identity);
      publishHoldings();
      long started = incarnation;
      at(nowMs, () -> tick(started));
      startListener.accept(this);
    }

    private void readRegistered() {
      long started = incarnation;
      at(nowMs + FIRST_READ_MS, () -> readRegistered(started, FIRST_READ_MS));
    }

    /** Runs an action of this process, unless it ends before; a suspended process runs it later. */
    void runAt(long atMs, Runnable action) {
      long started = incarnation;
      at(atMs, () -> runIfAlive(started, action));
    }

    private void runIfAlive(long started, Runnable action) {
      if (running && incarnation == started) {
        if (nowMs < suspendedUntilMs) {
          at(suspendedUntilMs, () -> runIfAlive(started, action));
        } else {
          action.run();
        }
      }
    }

    private void readRegistered(long started, long pauseMs) {
      if (running && incarnation == started) {
        List<OverlayInstance> others =
            registered.stream().filter(other -> !other.equals(identity)).toList();
        exchange.setInstances(others);
        known.setRegistered(others);
        at(nowMs + pauseMs, () -> readRegistered(started, Math.min(10_000, 2 * pauseMs)));
      }
    }

    private void tick(long started) {
      if (!running || incarnation != started) {
        return;
      }
      if (nowMs < suspendedUntilMs) {
        at(suspendedUntilMs, () -> tick(started));
        return;
      }
      tickListener.run();
      exchange.tick(
          leaving,
          Map.of(identity.name(), new LeaseStatus(StoreVersion.withoutEra(incarnation), 9_000)));
      long delayMs = slownessMs == 0 ? 0 : random.nextLong(slownessMs);
      at(nowMs + TICK_MS + delayMs, () -> tick(started));
    }

    /** Changes what the engine of this instance holds. */
    void publishHoldings() {
      holdingsVersion++;
      Map<String, Long> resident = Map.of("m/a" + holdingsVersion, 1L);
      FleetState.EngineHoldings state =
          new FleetState.EngineHoldings(identity.name(), resident, List.of(), 0);
      holdings.put(identity.name(), state);
      exchange.publishHoldings(state, incarnation);
    }

    /** Adds requests of this instance for one adapter at a target. */
    void addLoad(String target, int count) {
      for (int i = 0; i < count; i++) {
        load.recordSent(target, new AdapterKey("m", "a1"));
      }
    }

    @Override
    public boolean send(InstanceId peer, PeerMessage message) {
      messages++;
      Instance to = instances.get(peer.value());
      boolean isLoan =
          message instanceof PeerMessage.QuotaWanted || message instanceof PeerMessage.QuotaLent;
      if (hasLoanFaults && isLoan) {
        deliverWithFaults(this, to, message);
      } else {
        deliver(this, to, message);
      }
      return true;
    }

    @Override
    public void sendToAll(Collection<InstanceId> receivers, PeerMessage message) {
      receivers.forEach(receiver -> send(receiver, message));
    }

    @Override
    public void disconnect(InstanceId peer) {
      links.remove(peer.value());
      instances.get(peer.value()).links.remove(identity.name());
    }

    @Override
    public void closeIdleLinks(Set<InstanceId> peersToKeep, long minIdleMs) {}

    @Override
    public void onShared(List<RowChange> changes) {
      changes.forEach(change -> rows.put(change.row().key(), change));
    }

    @Override
    public boolean onSharedUpTo(StoreVersion fromVersion, StoreVersion version) {
      boolean knowsAllBefore = !fromVersion.isAfter(tableVersion);
      if (knowsAllBefore) {
        tableVersion = version;
      }
      return knowsAllBefore;
    }

    @Override
    public void onSharedRecovery() {
      recoveries++;
    }

    @Override
    public void onLeasesPublished(String instance, Map<String, LeaseStatus> published) {
      leases.put(instance, published);
    }

    @Override
    public void onInstancesHeard(Set<String> heard) {}

    @Override
    public void onInstancesChanged() {}

    @Override
    public void onInstanceSilent(String instance) {
      silentInstances.add(instance);
    }

    @Override
    public void onHoldings(FleetState.EngineHoldings published) {
      holdings.put(published.engine(), published);
    }

    @Override
    public void onCrash(FleetState.TargetCrash crash) {
      crashes.add(crash);
    }

    @Override
    public void onAnswer(FleetState.TraitAnswered answer) {
      answers.add(answer);
    }

    @Override
    public void onLimit(FleetState.TargetLimit limit) {
      limits.add(limit);
    }

    @Override
    public void onLimitEnd(FleetState.TargetLimitEnd end) {
      limits.removeIf(limit -> limit.target().equals(end.target()));
    }

    @Override
    public void onRefusal(FleetState.TraitRefused refusal) {
      refusals.add(refusal);
    }

    @Override
    public void onArrivals(Map<String, Integer> arrivals) {}

    @Override
    public void onQuotaLent(long number, boolean isLent) {
      quotaListener.onQuotaLent(number, isLent);
    }

    @Override
    public void onLoadsChanged() {}

    @Override
    public void onAdaptersInUse(String relay, Map<String, List<String>> inUse) {
      adaptersInUse.put(relay, inUse);
    }

    @Override
    public void onUseSilent(String relay) {
      adaptersInUse.remove(relay);
    }
  }

  private String ownerOf(String target) {
    return instances.containsKey(target) ? target : null;
  }

  private void at(long atMs, Runnable action) {
    tasks.add(new Task(atMs, taskNumber++, action));
  }

  private void deliver(Instance from, Instance to, PeerMessage message) {
    if (isCut(from, to)) {
      from.links.remove(to.identity.name());
      to.links.remove(from.identity.name());
      at(nowMs + CONNECT_TIMEOUT_MS, () -> from.exchange.onLinkClosed(to.identity.name()));
      return;
    }
    if (!to.running) {
      from.links.remove(to.identity.name());
      at(nowMs + 3, () -> from.exchange.onLinkClosed(to.identity.name()));
      return;
    }
    if (from.links.add(to.identity.name())) {
      to.links.add(from.identity.name());
      receive(from, to, instance -> instance.exchange.onLinked(from.identity.name()));
      receive(to, from, instance -> instance.exchange.onLinked(to.identity.name()));
    }
    receive(from, to, instance -> instance.exchange.handle(from.identity.name(), message));
  }

  /** Loses, delays and doubles a fifth of the messages each. */
  private void deliverWithFaults(Instance from, Instance to, PeerMessage message) {
    switch (faults.nextInt(5)) {
      case 0 -> {}
      case 1 -> {
        long incarnation = from.incarnation;
        at(
            nowMs + faults.nextInt(MAX_FAULT_DELAY_MS),
            () -> {
              if (from.running && from.incarnation == incarnation) {
                deliver(from, to, message);
              }
            });
      }
      case 2 -> {
        deliver(from, to, message);
        deliver(from, to, message);
      }
      default -> deliver(from, to, message);
    }
  }

  /** Runs an action at the receiver after the delay of the link, in the order of the calls. */
  private void receive(Instance from, Instance to, Consumer<Instance> action) {
    long delayMs = 1 + random.nextInt(3) + (to.slownessMs == 0 ? 0 : to.slownessMs);
    long arrivalMs =
        Math.max(nowMs + delayMs, to.deliveryFreeMs.getOrDefault(from.identity.name(), 0L));
    to.deliveryFreeMs.put(from.identity.name(), arrivalMs);
    long receiver = to.incarnation;
    at(arrivalMs, () -> receiveNow(to, receiver, action));
  }

  private void receiveNow(Instance to, long receiver, Consumer<Instance> action) {
    if (!to.running || to.incarnation != receiver) {
      return;
    }
    if (nowMs < to.suspendedUntilMs) {
      // The receiver reads what its system buffered after it has run its own timers.
      at(to.suspendedUntilMs + 1, () -> receiveNow(to, receiver, action));
      return;
    }
    action.accept(to);
  }

  private boolean isCut(Instance from, Instance to) {
    String fromDomain = from.identity.domain();
    String toDomain = to.identity.domain();
    return !fromDomain.equals(toDomain)
        && (cutDomains.contains(fromDomain) || cutDomains.contains(toDomain));
  }

  void run(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!tasks.isEmpty() && tasks.peek().atMs <= endMs) {
      Task task = tasks.poll();
      nowMs = task.atMs;
      task.action.run();
    }
    nowMs = endMs;
  }

  long nowMs() {
    return nowMs;
  }

  Instance get(String name) {
    return instances.get(name);
  }

  List<Instance> all() {
    return List.copyOf(instances.values());
  }

  List<Instance> running() {
    return instances.values().stream().filter(instance -> instance.running).toList();
  }

  List<Instance> where(Predicate<Instance> condition) {
    return instances.values().stream().filter(condition).toList();
  }

  /** Returns an instance that relays for others. */
  Instance someRelay() {
    return instances.values().stream()
        .max(Comparator.comparingInt(instance -> instance.links.size()))
        .orElseThrow();
  }

  void kill(Instance instance) {
    instance.running = false;
    instance.links.forEach(
        peer -> {
          Instance other = instances.get(peer);
          other.links.remove(instance.identity.name());
          at(nowMs + 3, () -> other.exchange.onLinkClosed(instance.identity.name()));
        });
    instance.links.clear();
  }

  void restart(Instance instance) {
    kill(instance);
    at(nowMs + RESTART_MS, instance::start);
  }

  void suspend(Instance instance, long durationMs) {
    instance.suspendedUntilMs = nowMs + durationMs;
  }

  void cut(String domain) {
    cutDomains.add(domain);
  }

  void addLoanFaults() {
    hasLoanFaults = true;
  }

  void heal() {
    cutDomains.clear();
  }

  long totalMessages() {
    return instances.values().stream().mapToLong(instance -> instance.messages).sum();
  }
}
