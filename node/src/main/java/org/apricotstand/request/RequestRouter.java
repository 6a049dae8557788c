package org.apricotstand.request;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.Availability;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.TargetChooser;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetHealth;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.LoadBoard;
import org.apricotstand.front.CallHandler;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.Reply;
import org.apricotstand.limit.WindowedRetryBudget;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.FrontSettings;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.route.Route;
import org.apricotstand.suspect.CrashCounts;
import org.apricotstand.upstream.TargetConnections;

/** Starts the course of each request and holds what requests share on the traffic thread. */
public final class RequestRouter implements CallHandler {

  private static final EventLog LOG = EventLog.of(RequestRouter.class);
  private static final long PROBE_DELAY_MS = 100;
  private static final long SWEEP_MS = 500;
  private static final long NO_PLAN_RETRY_MS = 500;
  private static final long CRASHER_RETRY_MS = 60_000;
  private static final long LEAVING_RETRY_MS = 40;

  private final EventLoop loop;
  private final FrontSettings settings;
  private final HeaderNames names;
  private final Supplier<FleetView> view;
  private final TargetConnections connections;
  private final LoadBoard board;
  private final FleetRequests fleet;
  private final Metrics metrics;
  private final Random random;
  private final CrashCounts crashes = new CrashCounts();
  private final TargetHealth health = new TargetHealth();
  private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();
  private final Set<RequestFlow> waiting = new LinkedHashSet<>();
  private final Map<MissingAdapter, Residency> missing = new HashMap<>();

  private volatile long refuseLongAfterMs = Long.MAX_VALUE;
  private volatile long drainEndMs = Long.MAX_VALUE;

  private record MissingAdapter(String engine, AdapterKey key) {}

  /** Creates a router; its calls must run on the loop. */
  public RequestRouter(
      EventLoop loop,
      FrontSettings settings,
      HeaderNames names,
      Supplier<FleetView> view,
      LoadBoard board,
      FleetRequests fleet,
      Metrics metrics,
      Random random) {
    this.loop = loop;
    this.settings = settings;
    this.names = names;
    this.view = view;
    this.connections = new TargetConnections(loop, names.requestId());
    this.board = board;
    this.fleet = fleet;
    this.metrics = metrics;
    this.random = random;
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public ActiveCall handle(CallerRequest request, Reply reply) {
    FleetView now = view.get();
    if (now.plan() == null) {
      refused(request, 503, "no_configuration");
      reply.fail(503, "no_configuration", NO_PLAN_RETRY_MS);
      return new EndedCall();
    }
    Optional<Route> route = now.plan().find(request.headers().get("host"), request.uri());
    if (route.isEmpty()) {
      refused(request, 404, "no_route");
      reply.fail(404, "no_route", 0);
      return new EndedCall();
    }
    if (!endsInTime(request, route.get())) {
      refused(request, 503, "shutting_down");
      reply.fail(503, "shutting_down", spread(LEAVING_RETRY_MS));
      return new EndedCall();
    }
    if (!crashes.isEmpty()
        && crashes.isRefused(RequestFingerprint.of(request), ControlThread.nowMs())) {
      refused(request, 503, "crashes_targets");
      reply.fail(503, "crashes_targets", CRASHER_RETRY_MS);
      return new EndedCall();
    }
    String service = route.get().serviceFor(random.nextDouble());
    budget(service).requested(ControlThread.nowMs());
    RequestFlow flow = new RequestFlow(this, request, reply, route.get(), service);
    flow.start();
    return flow;
  }

  /** Lets the requests that wait for an adapter look at the new view. */
  public void viewChanged() {
    FleetView now = view.get();
    missing
        .entrySet()
        .removeIf(entry -> now.residency().get(entry.getKey().engine) != entry.getValue());
    List.copyOf(waiting).forEach(RequestFlow::reconsider);
  }

  /**
   * Sets when the process ends; requests that could outlive it are refused from a while before,
   * when callers had time to choose another instance.
   *
   * @param refuseFromMs when refusals begin, monotonic
   * @param endMs when the process ends at the latest, monotonic
   */
  public void drain(long refuseFromMs, long endMs) {
    refuseLongAfterMs = refuseFromMs;
    drainEndMs = endMs;
  }

  private boolean endsInTime(CallerRequest request, Route route) {
    long nowMs = ControlThread.nowMs();
    return nowMs < refuseLongAfterMs || request.arrivedMs() + route.timeoutMs() < drainEndMs;
  }

  private void refused(CallerRequest request, int status, String code) {
    metrics.count("request.refused." + code);
    LOG.info(
        "request_refused",
        "request",
        request.headers().get(names.requestId()),
        "status",
        status,
        "code",
        code,
        "path",
        request.uri());
  }

  Optional<Candidate> choose(RequestFlow flow) {
    FleetView now = view.get();
    List<Candidate> candidates =
        now.targetsOf(flow.service()).stream()
            .filter(target -> !flow.excludes(target))
            .map(target -> candidate(now, target, flow))
            .toList();
    return flow.adapter() == null
        ? TargetChooser.choosePlain(settings.domain(), candidates)
        : TargetChooser.chooseEngine(flow.adapter().toString(), settings.domain(), candidates);
  }

  private Candidate candidate(FleetView now, TargetEntry target, RequestFlow flow) {
    AdapterKey key = flow.adapter();
    TargetLoad load =
        board.load(target.id()).plus(now.peerLoads().getOrDefault(target.id(), TargetLoad.NONE));
    double penaltyMs = health.penaltyMs(target.id(), ControlThread.nowMs());
    if (key == null) {
      return Candidate.plain(target, load, penaltyMs);
    }
    Residency held = now.residency().getOrDefault(target.id(), Residency.EMPTY);
    Availability known = availability(target.id(), key, held, now.versionOf(key));
    boolean asked = flow.hasAsked(target) && known != Availability.RESIDENT;
    Availability availability = asked ? Availability.ASKED : known;
    boolean loadable = now.commandable().contains(target.id());
    return new Candidate(target, load, availability, loadable, held.queuedLoads(), penaltyMs);
  }

  private Availability availability(String engine, AdapterKey key, Residency held, long version) {
    if (held.serves(key, version) && !missing.containsKey(new MissingAdapter(engine, key))) {
      return Availability.RESIDENT;
    }
    if (held.arriving().contains(key)) {
      return Availability.ARRIVING;
    }
    if (!held.holdsModelOf(key)) {
      return Availability.NO_MODEL;
    }
    if (held.resident().containsKey(key)) {
      return Availability.STALE;
    }
    return held.warm().contains(key) ? Availability.WARM : Availability.COLD;
  }

  /** Remembers that an engine refused a request until its owner says again what it holds. */
  void noteMissing(String engine, AdapterKey key) {
    Residency held = view.get().residency().get(engine);
    if (held != null) {
      missing.put(new MissingAdapter(engine, key), held);
    }
    fleet.missing(engine, key);
  }

  /** Counts a crash that another instance saw. */
  public void noteCrash(String fingerprint, String incarnation) {
    crashes.recordCrash(fingerprint, incarnation, ControlThread.nowMs());
  }

  /** Finds out whether a target crashed when it lost the connection of a request. */
  void suspectCrash(CallerRequest request, TargetEntry target) {
    loop.schedule(
        () ->
            connections.probe(
                target,
                alive -> {
                  if (!alive) {
                    String fingerprint = RequestFingerprint.of(request);
                    LOG.info(
                        "crash_noted", "fingerprint", fingerprint, "target", target.incarnation());
                    health.unreachable(target.id(), ControlThread.nowMs());
                    noteCrash(fingerprint, target.incarnation());
                    fleet.crashed(fingerprint, target.incarnation());
                  }
                }),
        PROBE_DELAY_MS,
        TimeUnit.MILLISECONDS);
  }

  boolean tryRepeat(String service) {
    return budget(service).tryRepeat(view.get().instances(), ControlThread.nowMs());
  }

  private WindowedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new WindowedRetryBudget(
                settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMs()));
  }

  private void sweep() {
    List<TargetEntry> live = view.get().targets().values().stream().flatMap(List::stream).toList();
    connections.sweep(live.stream().map(TargetEntry::incarnation).collect(Collectors.toSet()));
    health.retain(live.stream().map(TargetEntry::id).collect(Collectors.toSet()));
  }

  EventLoop loop() {
    return loop;
  }

  HeaderNames names() {
    return names;
  }

  FleetView view() {
    return view.get();
  }

  TargetConnections connections() {
    return connections;
  }

  LoadBoard board() {
    return board;
  }

  FleetRequests fleet() {
    return fleet;
  }

  TargetHealth health() {
    return health;
  }

  Metrics metrics() {
    return metrics;
  }

  Set<RequestFlow> waiting() {
    return waiting;
  }

  /** Returns a number from 0 to 1, uniform over calls. */
  double draw() {
    return random.nextDouble();
  }

  /** Returns a time around the given one, so that callers do not come back together. */
  long spread(long aroundMs) {
    return aroundMs / 2 + (long) (random.nextDouble() * aroundMs);
  }

  /** A call that was answered at once. */
  private static final class EndedCall implements ActiveCall {
    @Override
    public void callerGone() {}

    @Override
    public void callerWritable() {}
  }
}
