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
import java.util.stream.Stream;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.Availability;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.StaleLoadChooser;
import org.apricotstand.dispatch.TargetChooser;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetHealth;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.fleet.FleetEventListener;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.front.CallHandler;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.Reply;
import org.apricotstand.hedge.HedgeAllowance;
import org.apricotstand.hedge.HedgeDecision;
import org.apricotstand.hedge.HedgePolicy;
import org.apricotstand.hedge.HedgeSituation;
import org.apricotstand.limit.AllowanceShare;
import org.apricotstand.limit.WindowedRetryBudget;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.quota.LoanRequests;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.route.Route;
import org.apricotstand.route.ServiceSpec;
import org.apricotstand.suspect.Trait;
import org.apricotstand.upstream.TargetConnectionPool;

/**
 * Starts a {@link RequestFlow} for each request of a caller and holds the state that requests
 * share: connections, retry budgets, recent failures and crashes. Belongs to the traffic thread.
 */
public final class RequestRouter implements CallHandler, FleetEventListener {

  private static final EventLog LOG = EventLog.of(RequestRouter.class);

  private static final long CLEANUP_INTERVAL_MS = 500;
  private static final long NO_PLAN_RETRY_MS = 500;

  /** Time after the start in which the configuration and the list of targets usually arrive. */
  private static final long PLAN_WAIT_MS = 1_000;

  /** Code of requests that are refused or ended because the instance stops. */
  static final String SHUTTING_DOWN = "shutting_down";

  /** Time after which a caller may send such a request again, to another instance. */
  static final long SHUTDOWN_RETRY_MS = 40;

  private final EventLoop loop;
  private final ServingSettings settings;
  private final HeaderNames headerNames;
  private final Supplier<FleetView> view;
  private final TargetConnectionPool connections;
  private final LocalLoadTracker loadTracker;
  private final FleetNotifier fleetNotifier;
  private final Metrics metrics;
  private final Random random;
  private final CrashWatch crashWatch;
  private final TargetPacer pacer;
  private final AdmissionCheck admissionCheck;
  private final MemoryLimiter memory;
  private final QuotaGate quotaGate;
  private final QuotaWaits quotaWaits;
  private final TargetHealth health = new TargetHealth();
  private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
  private final AllowanceShare retryShare;
  private final Optional<Hedging> hedging;
  private final Set<RequestFlow> activeFlows = new LinkedHashSet<>();
  private final Set<RequestFlow> waitingFlows = new LinkedHashSet<>();
  private final Set<PlanWait> planWaits = new LinkedHashSet<>();
  private final long planWaitEndMs = ControlThread.nowMs() + PLAN_WAIT_MS;

  /** Reported residency of each engine at the time when it lacked the adapter. */
  private final Map<MissingAdapter, Residency> missingAdapters = new HashMap<>();

  private boolean isStopped;
  private volatile long refusalStartMs = Long.MAX_VALUE;
  private volatile long drainEndMs = Long.MAX_VALUE;

  private record MissingAdapter(String engine, AdapterKey key) {}

  /** Creates a router; all calls but {@link #drain} must run on the loop. */
  public RequestRouter(
      EventLoop loop,
      ServingSettings settings,
      HeaderNames headerNames,
      Supplier<FleetView> view,
      Supplier<QuotaShares> quotaShares,
      LocalLoadTracker loadTracker,
      FleetNotifier fleetNotifier,
      Metrics metrics,
      MemoryLimiter memory,
      Random random) {
    this.loop = loop;
    this.settings = settings;
    this.headerNames = headerNames;
    this.view = view;
    this.connections =
        new TargetConnectionPool(
            loop,
            headerNames,
            settings.answerLimits().maxSkippedBytes(),
            target -> maxConnections(view.get(), target));
    this.memory = memory;
    this.retryShare = new AllowanceShare(settings.retryWindowMs());
    this.admissionCheck = new AdmissionCheck(settings.freshness(), ControlThread::nowMs);
    this.loadTracker = loadTracker;
    this.fleetNotifier = fleetNotifier;
    this.metrics = metrics;
    this.random = random;
    this.quotaGate =
        new QuotaGate(
            settings.quotaBounds(),
            quotaShares,
            loadTracker,
            headerNames,
            metrics,
            random,
            ControlThread::nowMs);
    this.quotaWaits = new QuotaWaits(loop, fleetNotifier);
    this.pacer = new TargetPacer(settings.name(), ControlThread::nowMs, fleetNotifier);
    this.hedging =
        settings.maxHedgeShare() > 0
            ? Optional.of(new Hedging(settings.maxHedgeShare(), metrics))
            : Optional.empty();
    this.crashWatch =
        new CrashWatch(
            loop,
            ControlThread::nowMs,
            connections,
            health,
            fleetNotifier,
            view,
            this::onTraitRefused);
    loop.scheduleWithFixedDelay(
        this::removeGoneTargets, CLEANUP_INTERVAL_MS, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public ActiveCall handle(CallerRequest request, Reply reply) {
    FleetView fleetView = view.get();
    if (!canServe(fleetView)) {
      return awaitPlan(request, reply);
    }
    return handleBy(fleetView, request, reply);
  }

  /** Returns the limit of connections that the service of a target declares; 0 or less is none. */
  private static int maxConnections(FleetView fleetView, TargetEntry target) {
    return Optional.ofNullable(fleetView.plan())
        .flatMap(plan -> plan.service(target.service()))
        .map(ServiceSpec::maxConnections)
        .filter(limit -> limit > 0)
        .orElse(Integer.MAX_VALUE);
  }

  private static boolean canServe(FleetView fleetView) {
    return fleetView.plan() != null && !fleetView.targets().isEmpty();
  }

  private ActiveCall awaitPlan(CallerRequest request, Reply reply) {
    PlanWait wait =
        new PlanWait(
            loop,
            planWaitEndMs,
            () -> handleOrFail(request, reply, () -> handleAfterWait(request, reply)));
    planWaits.add(wait);
    return wait;
  }

  private void endPlanWaits() {
    List<PlanWait> waits = List.copyOf(planWaits);
    planWaits.clear();
    waits.forEach(PlanWait::endWait);
  }

  /** Handles a request outside the call that brought it, where nothing else would answer it. */
  private ActiveCall handleOrFail(
      CallerRequest request, Reply reply, Supplier<ActiveCall> afterWait) {
    try {
      return afterWait.get();
    } catch (RuntimeException e) {
      LOG.warn(
          "request_step_failed",
          "request",
          request.headers().get(headerNames.requestId()),
          "error",
          e.toString());
      reply.fail(502, RequestFlow.INTERNAL_ERROR, 0);
      return new EndedCall();
    }
  }

  private ActiveCall handleAfterWait(CallerRequest request, Reply reply) {
    planWaits.removeIf(PlanWait::isEnded);
    if (view.get().plan() != null) {
      return handleBy(view.get(), request, reply);
    }
    recordRefusal(request, 503, "no_configuration");
    reply.fail(503, "no_configuration", NO_PLAN_RETRY_MS);
    return new EndedCall();
  }

  private ActiveCall handleBy(FleetView fleetView, CallerRequest request, Reply reply) {
    Optional<Route> route = fleetView.plan().find(request.headers().get("host"), request.uri());
    if (route.isEmpty()) {
      recordRefusal(request, 404, "no_route");
      reply.fail(404, "no_route", 0);
      return new EndedCall();
    }
    Admission admission;
    switch (admissionCheck.check(request.headers(), route.get(), fleetView)) {
      case AdmissionCheck.Admitted admitted -> admission = admitted.admission();
      case AdmissionCheck.Refused refused -> {
        recordRefusal(request, refused.status(), refused.code());
        reply.fail(refused.status(), refused.code(), refused.retryAfterMs());
        return new EndedCall();
      }
    }
    if (!endsBeforeShutdown(request, route.get())) {
      recordRefusal(request, 503, SHUTTING_DOWN);
      reply.fail(503, SHUTTING_DOWN, withJitter(SHUTDOWN_RETRY_MS));
      return new EndedCall();
    }
    String service = route.get().serviceFor(random.nextDouble());
    quotaGate.setPlan(admission.plan());
    QuotaTicket quota = quotaGate.ticket(admission, request.headers());
    RequestFlow flow =
        new RequestFlow(this, request, reply, route.get(), admission, quota, service);
    if (crashWatch.findRefused(flow.traits()).isPresent()) {
      recordRefusal(request, 503, RequestFlow.CRASHES_TARGETS);
      reply.fail(503, RequestFlow.CRASHES_TARGETS, RequestFlow.CRASHING_REQUEST_RETRY_MS);
      return new EndedCall();
    }
    if (quota.tryStart()) {
      return start(flow);
    }
    if (!quota.mayBorrow()) {
      return refuseBeyondQuota(request, reply, quota);
    }
    long waitMs = LoanRequests.waitMs(route.get().targetLatencyMs());
    return quotaWaits.await(
        quota,
        waitMs,
        loan ->
            handleOrFail(
                request, reply, () -> handleAfterLoan(request, reply, route.get(), flow, loan)));
  }

  private ActiveCall start(RequestFlow flow) {
    retryBudget(flow.service()).recordRequest(ControlThread.nowMs());
    hedging.ifPresent(known -> known.recordRequest(flow.service()));
    flow.start();
    return flow;
  }

  private ActiveCall refuseBeyondQuota(CallerRequest request, Reply reply, QuotaTicket quota) {
    quota.recordRefused();
    recordRefusal(request, 429, RequestFlow.QUOTA_EXCEEDED);
    reply.fail(429, RequestFlow.QUOTA_EXCEEDED, quota.retryAfterMs());
    return new EndedCall();
  }

  /** Goes on with a request after its wait; what may have changed meanwhile is checked again. */
  private ActiveCall handleAfterLoan(
      CallerRequest request, Reply reply, Route route, RequestFlow flow, QuotaWaits.Loan loan) {
    if (isStopped || !endsBeforeShutdown(request, route)) {
      recordRefusal(request, 503, SHUTTING_DOWN);
      reply.fail(503, SHUTTING_DOWN, withJitter(SHUTDOWN_RETRY_MS));
      return new EndedCall();
    }
    if (crashWatch.findRefused(flow.traits()).isPresent()) {
      recordRefusal(request, 503, RequestFlow.CRASHES_TARGETS);
      reply.fail(503, RequestFlow.CRASHES_TARGETS, RequestFlow.CRASHING_REQUEST_RETRY_MS);
      return new EndedCall();
    }
    return loan.tryTake() ? start(flow) : refuseBeyondQuota(request, reply, loan.ticket());
  }

  /**
   * Chooses targets again for the requests that wait for an adapter. Also forgets that an engine
   * lacks an adapter if the engine's residency has been reported again.
   */
  public void onViewChanged() {
    FleetView fleetView = view.get();
    missingAdapters
        .entrySet()
        .removeIf(entry -> fleetView.residency().get(entry.getKey().engine) != entry.getValue());
    if (fleetView.instances().contains(settings.name())) {
      pacer.setInstances(fleetView.instances());
    }
    if (fleetView.knownInstances() > 0
        && retryShare.setInstances(fleetView.knownInstances(), ControlThread.nowMs())) {
      LOG.info("retry_share_changed", "instances", fleetView.knownInstances());
    }
    crashWatch.checkReplacements();
    if (canServe(fleetView)) {
      endPlanWaits();
    }
    List.copyOf(waitingFlows).forEach(RequestFlow::onViewChanged);
  }

  /**
   * Sets when the process ends. Requests that could outlive it are refused, but not before callers
   * have had time to choose another instance.
   *
   * @param refuseFromMs monotonic time at which refusals start
   * @param endMs monotonic time at which the process ends at the latest
   */
  public void drain(long refuseFromMs, long endMs) {
    refusalStartMs = refuseFromMs;
    drainEndMs = endMs;
  }

  /** Gives each request in progress its final answer, since the process is about to end. */
  public void endRequests() {
    isStopped = true;
    endPlanWaits();
    quotaWaits.endAll();
    List.copyOf(activeFlows).forEach(RequestFlow::onShutdown);
  }

  private boolean endsBeforeShutdown(CallerRequest request, Route route) {
    long nowMs = ControlThread.nowMs();
    return nowMs < refusalStartMs || request.arrivedMs() + route.timeoutMs() < drainEndMs;
  }

  private void recordRefusal(CallerRequest request, int status, String code) {
    metrics.count("request.refused." + code);
    LOG.info(
        "request_refused",
        "request",
        request.headers().get(headerNames.requestId()),
        "status",
        status,
        "code",
        code,
        "path",
        request.uri());
  }

  Optional<Candidate> choose(RequestFlow flow) {
    List<Candidate> candidates =
        candidates(flow)
            .filter(candidate -> candidate.sendDelayMs() <= flow.maxSendDelayMs())
            .toList();
    if (flow.adapter() != null) {
      return TargetChooser.chooseEngine(flow.adapter().toString(), settings.domain(), candidates);
    }
    return view.get().usesRelays()
        ? StaleLoadChooser.choose(settings.domain(), candidates, random.nextDouble())
        : TargetChooser.choosePlainTarget(settings.domain(), candidates);
  }

  /** Decides whether and where a second attempt of a late request is sent. */
  HedgeDecision decideHedge(
      RequestFlow flow, Route route, Attempt first, HedgeAllowance allowance) {
    AdapterKey key = flow.adapter();
    HedgeSituation situation =
        new HedgeSituation(
            route,
            flow.runs(),
            first.hasHead(),
            crashWatch.isSuspected(flow.traits()),
            waitingFlows.stream().anyMatch(other -> other.service().equals(flow.service())),
            first.target().id(),
            Set.of(),
            key == null ? null : key.toString(),
            settings.domain(),
            candidates(flow).toList());
    return HedgePolicy.decide(situation, allowance, flow::tryReserveRetry);
  }

  /** Returns whether the service has another target that a request may be sent to. */
  boolean hasOtherTarget(RequestFlow flow, TargetEntry target) {
    return view.get().targetsOf(flow.service()).stream()
        .anyMatch(
            other ->
                !other.id().equals(target.id())
                    && !flow.isExcluded(other)
                    && connections.canSend(other));
  }

  /**
   * Returns the targets of the service that the request does not exclude. A target that can run it
   * now must also have a connection for it; at others, the request waits for its adapter first.
   */
  private Stream<Candidate> candidates(RequestFlow flow) {
    FleetView fleetView = view.get();
    return fleetView.targetsOf(flow.service()).stream()
        .filter(target -> !flow.isExcluded(target))
        .map(target -> toCandidate(fleetView, target, flow))
        .filter(candidate -> !candidate.isResident() || connections.canSend(candidate.target()));
  }

  /** Returns whether a target limits requests, so that this instance cannot send one now. */
  boolean isLimited(TargetEntry target) {
    return pacer.delayMs(target).orElse(1) > 0;
  }

  /** Returns whether a target that the request may use has no connection for it. */
  boolean isAtConnectionLimit(TargetEntry target, RequestFlow flow) {
    return !flow.isExcluded(target) && !connections.canSend(target);
  }

  /** Returns whether a target is still listed and can be sent a request now. */
  boolean canRun(TargetEntry target, RequestFlow flow) {
    if (pacer.isPaused(target) || !connections.canSend(target)) {
      return false;
    }
    FleetView fleetView = view.get();
    return fleetView.targetsOf(flow.service()).stream()
        .filter(listed -> listed.incarnation().equals(target.incarnation()))
        .anyMatch(listed -> toCandidate(fleetView, listed, flow).isResident());
  }

  private Candidate toCandidate(FleetView fleetView, TargetEntry target, RequestFlow flow) {
    AdapterKey key = flow.adapter();
    TargetLoad load = loadAt(fleetView, target);
    long nowMs = ControlThread.nowMs();
    double penaltyMs = health.penaltyMs(target.id(), nowMs);
    long sendDelayMs = pacer.delayMs(target).orElse(Candidate.NEVER);
    double slowness = fleetView.slownessOf(target.id());
    if (key == null) {
      boolean rejecting = health.isRejecting(target.id(), nowMs);
      return Candidate.ofPlainService(target, load, penaltyMs, sendDelayMs, rejecting, slowness);
    }
    Residency residency = fleetView.residency().getOrDefault(target.id(), Residency.EMPTY);
    Availability currentAvailability =
        availability(target.id(), key, residency, fleetView.declaredVersion(key));
    boolean loadRequested =
        flow.hasRequestedLoad(target) && currentAvailability != Availability.RESIDENT;
    Availability availability = loadRequested ? Availability.LOAD_REQUESTED : currentAvailability;
    boolean canLoad = fleetView.enginesWithOwner().contains(target.id());
    return new Candidate(
        target,
        load,
        availability,
        canLoad,
        residency.queuedLoads(),
        penaltyMs,
        sendDelayMs,
        false,
        slowness);
  }

  private TargetLoad loadAt(FleetView fleetView, TargetEntry target) {
    return loadTracker
        .load(target.id())
        .plus(fleetView.peerLoads().getOrDefault(target.id(), TargetLoad.NONE));
  }

  /** Returns the requests at a target if the times of its answers are to be recorded. */
  Optional<TargetLoad> loadIfTimed(TargetEntry target) {
    FleetView fleetView = view.get();
    return fleetView.usesRelays() ? Optional.of(loadAt(fleetView, target)) : Optional.empty();
  }

  private Availability availability(
      String engine, AdapterKey key, Residency residency, long version) {
    if (residency.serves(key, version)
        && !missingAdapters.containsKey(new MissingAdapter(engine, key))) {
      return Availability.RESIDENT;
    }
    if (residency.loading().contains(key)) {
      return Availability.LOADING;
    }
    if (!residency.holdsModelOf(key)) {
      return Availability.NO_MODEL;
    }
    if (residency.resident().containsKey(key)) {
      return Availability.STALE;
    }
    return residency.warm().contains(key) ? Availability.WARM : Availability.COLD;
  }

  /**
   * Records that a target did not run a request. An engine that lacks the adapter (status 421) is
   * reported to its owner.
   *
   * @param adapter adapter that the request names; null for a plain service
   * @return whether the request may be sent to the target again
   */
  boolean recordRejection(TargetEntry target, AdapterKey adapter, int status) {
    if (adapter != null && status == 421) {
      recordMissing(target.id(), adapter);
      return true;
    }
    if (adapter == null && status == 503 && view.get().usesRelays()) {
      health.recordRejection(target.id(), ControlThread.nowMs());
    } else {
      health.recordFailure(target.id(), ControlThread.nowMs());
    }
    return false;
  }

  /**
   * Records that an engine refused a request because it lacks the adapter, and tells its owner. The
   * adapter counts as missing until the owner reports the engine's residency again.
   */
  void recordMissing(String engine, AdapterKey key) {
    Residency residency = view.get().residency().get(engine);
    if (residency != null) {
      missingAdapters.put(new MissingAdapter(engine, key), residency);
    }
    fleetNotifier.reportMissing(engine, key);
  }

  /** Ends the requests in progress that may crash their targets, before they do so. */
  private void onTraitRefused() {
    List.copyOf(activeFlows).forEach(RequestFlow::onTraitRefused);
  }

  @Override
  public void onCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {
    crashWatch.recordCrash(incarnation, requestsByTrait);
  }

  @Override
  public void onAnswer(Trait trait) {
    crashWatch.recordAnswer(trait);
  }

  @Override
  public void onRefusal(Trait trait, long untilMs) {
    crashWatch.recordRefusal(trait, untilMs);
  }

  @Override
  public void onLimit(String incarnation, double perSecond) {
    pacer.recordLimit(incarnation, perSecond);
  }

  @Override
  public void onLimitEnd(String incarnation) {
    pacer.recordLimitEnd(incarnation);
  }

  @Override
  public void onQuotaLent(long number, boolean isLent) {
    quotaWaits.onAnswer(number, isLent);
  }

  /** Returns the state of hedging; empty if it is off. */
  Optional<Hedging> hedging() {
    return hedging;
  }

  TargetPacer pacer() {
    return pacer;
  }

  CrashWatch crashWatch() {
    return crashWatch;
  }

  /** Reserves a retry at a service; returns false when the budget of the service is exhausted. */
  boolean tryReserveRetry(String service) {
    long nowMs = ControlThread.nowMs();
    boolean isReserved = retryBudget(service).tryReserveRetry(retryShare.fraction(nowMs), nowMs);
    metrics.count(isReserved ? "request.retry.granted" : "request.retry.refused");
    return isReserved;
  }

  WindowedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new WindowedRetryBudget(
                settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMs()));
  }

  private void removeGoneTargets() {
    List<TargetEntry> liveTargets =
        view.get().targets().values().stream().flatMap(List::stream).toList();
    Set<String> incarnations =
        liveTargets.stream().map(TargetEntry::incarnation).collect(Collectors.toSet());
    connections.sweep(incarnations);
    crashWatch.checkReplacements();
    pacer.retain(incarnations);
    Set<String> ids = liveTargets.stream().map(TargetEntry::id).collect(Collectors.toSet());
    health.retain(ids);
    hedging.ifPresent(known -> known.sweep(view.get().plan(), ids, ControlThread.nowMs()));
  }

  AnswerLimits answerLimits() {
    return settings.answerLimits();
  }

  MemoryLimiter memory() {
    return memory;
  }

  EventLoop loop() {
    return loop;
  }

  HeaderNames headerNames() {
    return headerNames;
  }

  FleetView view() {
    return view.get();
  }

  TargetConnectionPool connections() {
    return connections;
  }

  LocalLoadTracker loadTracker() {
    return loadTracker;
  }

  FleetNotifier fleetNotifier() {
    return fleetNotifier;
  }

  TargetHealth health() {
    return health;
  }

  Metrics metrics() {
    return metrics;
  }

  Set<RequestFlow> activeFlows() {
    return activeFlows;
  }

  Set<RequestFlow> waitingFlows() {
    return waitingFlows;
  }

  /** Returns a random number from 0 to 1, uniformly distributed. */
  double randomFraction() {
    return random.nextDouble();
  }

  /**
   * Returns a random time from half to one and a half times the mean, so that callers do not retry
   * together.
   */
  long withJitter(long meanMs) {
    return meanMs / 2 + (long) (random.nextDouble() * meanMs);
  }

  /** A call that was answered immediately, so that there is nothing to cancel. */
  private static final class EndedCall implements ActiveCall {
    @Override
    public void onCallerDisconnected() {}

    @Override
    public void onCallerWritable() {}
  }
}
