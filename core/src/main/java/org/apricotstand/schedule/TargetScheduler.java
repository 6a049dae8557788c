package org.apricotstand.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apricotstand.budget.LoadLimiter;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.PlacementPolicy;

/**
 * Decides which requests one engine runs and which adapters it loads and unloads. One object of
 * this class exists for each owned engine; it is confined to the control thread.
 *
 * <pre>{@code
 * List<SchedulerAction> actions =
 *     scheduler.handle(new SchedulerEvent.RequestSubmitted(request), nowMs);
 * }</pre>
 */
public final class TargetScheduler {

  /** Maximum number of requests that wait for one engine. */
  static final int MAX_WAITING = 1_000;

  /** Times a request is queued again because its adapter was not loaded, before it is refused. */
  private static final int MAX_REQUEUES = 3;

  /** Time after the retry time of a failed load at which the failure is removed. */
  private static final long BACKOFF_RETENTION_MS = 60_000;

  private final TargetId target;
  private final LoadLimiter loadLimiter;
  private final WaitingQueue queue;
  private final SlotTable slots = new SlotTable();
  private final Batch batch = new Batch();
  private final LoadBackoff backoff;
  private final Valuation valuation = new Valuation();
  private final Dispatcher dispatcher;
  private final LoadPlanner planner;
  private final LoadTimes loadTimes = new LoadTimes();
  private final DecayingMinimum serviceTime = new DecayingMinimum();
  private boolean stateReported;
  private long incarnation;
  private boolean reachable;
  private boolean commandsAllowed = true;
  // Set once and never reset. Otherwise a late state report could make this scheduler command the
  // engine while another scheduler of this instance does so as well.
  private Failure ownershipLoss;

  /**
   * Creates a scheduler for an engine that has not reported its state yet.
   *
   * @param loadLimiter limits the loads of all engines of this instance together
   * @param random source of the jitter of load retries
   */
  public TargetScheduler(
      TargetId target, PlacementPolicy policy, LoadLimiter loadLimiter, RandomGenerator random) {
    this.target = target;
    this.loadLimiter = loadLimiter;
    this.backoff = new LoadBackoff(random);
    boolean byValue = policy.ordersByValue();
    Comparator<WaitingQueue.Entry> order =
        byValue ? WaitingQueue.BY_URGENCY : WaitingQueue.BY_ARRIVAL;
    this.queue = new WaitingQueue(order);
    this.dispatcher = new Dispatcher(queue, slots, batch, order, byValue);
    this.planner = new LoadPlanner(queue, slots, batch, backoff, valuation, byValue);
  }

  /**
   * Applies an event and returns the actions that the owner has to perform, in order.
   *
   * @param nowMs current monotonic time
   */
  public List<SchedulerAction> handle(SchedulerEvent event, long nowMs) {
    List<SchedulerAction> actions = new ArrayList<>();
    apply(event, nowMs, actions);
    dispatch(nowMs, actions);
    startLoads(nowMs, actions);
    return actions;
  }

  /** Returns the adapter versions that are resident in the engine, as known to this owner. */
  public List<AdapterVersion> resident() {
    return slots.all().stream().filter(Slot::isResident).map(Slot::adapterVersion).toList();
  }

  /**
   * Returns the number of requests that wait, run, or ran before a restart of the engine and may
   * still reach it.
   */
  public int requestCount() {
    return waiting() + running() + batch.unconfirmedCount();
  }

  /** Returns whether a request waits or runs. */
  public boolean hasRequest(RequestId id) {
    return queue.contains(id) || batch.isRunning(id);
  }

  /** Returns the number of requests in the queue. */
  public int waiting() {
    return queue.size();
  }

  /** Returns the number of requests in the batch. */
  public int running() {
    return batch.size();
  }

  private void apply(SchedulerEvent event, long nowMs, List<SchedulerAction> actions) {
    switch (event) {
      case SchedulerEvent.RequestSubmitted(ScheduledRequest request) ->
          submit(request, nowMs, actions);
      case SchedulerEvent.RequestCanceled(RequestId id) -> cancel(id, actions);
      case SchedulerEvent.RequestFinished(RequestId id) -> finish(id, nowMs);
      case SchedulerEvent.AdapterNotLoaded(RequestId id) -> requeueOrRefuse(id, nowMs, actions);
      case SchedulerEvent.LoadFinished(AdapterVersion loaded, long commandId) -> {
        endLoad(commandId, true, nowMs);
        backoff.recordSuccess(loaded);
        if (commandsAllowed) {
          slots.confirmResident(loaded, commandId, nowMs);
        } else {
          slots.confirmEmpty(loaded, commandId, nowMs);
        }
      }
      case SchedulerEvent.LoadFailed(AdapterVersion failed, long commandId, Failure failure) -> {
        endLoad(commandId, false, nowMs);
        if (slots.confirmEmpty(failed, commandId, nowMs)) {
          backoff.recordFailure(failed, failure, nowMs);
        }
      }
      case SchedulerEvent.UnloadFinished(AdapterVersion unloaded, long commandId) ->
          slots.confirmEmpty(unloaded, commandId, nowMs);
      case SchedulerEvent.UnloadFailed(AdapterVersion kept, long commandId, Failure failure) ->
          slots.confirmResident(kept, commandId, nowMs);
      case SchedulerEvent.EngineReported report -> applyReport(report, nowMs, actions);
      case SchedulerEvent.DeclarationsChanged(Set<String> pinned, double stallWeight) -> {
        planner.setPinned(pinned);
        slots.stopDraining();
        dispatcher.setStallWeight(stallWeight);
      }
      case SchedulerEvent.EngineLost lost -> reachable = false;
      case SchedulerEvent.QuarantineStarted started -> {
        slots.setQuarantine(true);
        slots.stopDraining();
      }
      case SchedulerEvent.QuarantineEnded ended -> slots.setQuarantine(false);
      case SchedulerEvent.CommandsAllowed(boolean allowed) -> commandsAllowed = allowed;
      case SchedulerEvent.OwnershipLost(Failure failure) -> loseOwnership(failure, actions);
      case SchedulerEvent.Tick tick -> {
        refuseUnreachableDeadlines(nowMs, actions);
        backoff.removeRetriesBefore(nowMs - BACKOFF_RETENTION_MS);
      }
    }
  }

  private void submit(ScheduledRequest request, long nowMs, List<SchedulerAction> actions) {
    if (ownershipLoss != null) {
      actions.add(new SchedulerAction.Refuse(request, ownershipLoss));
      return;
    }
    if (queue.contains(request.id()) || batch.contains(request.id())) {
      actions.add(
          refusal(request, "duplicate_request", "a request of this id waits or runs already"));
      return;
    }
    valuation.recordRequest(request.adapterVersion(), nowMs);
    if (isDeadlineUnreachable(request, nowMs)) {
      actions.add(deadlineRefusal(request));
      return;
    }
    queue.add(request);
    if (queue.size() > MAX_WAITING) {
      ScheduledRequest dropped = queue.remove(queue.overflowVictim().request().id()).request();
      actions.add(refusal(dropped, "queue_full", "the queue of the engine is full"));
    }
  }

  private void cancel(RequestId id, List<SchedulerAction> actions) {
    if (queue.remove(id) == null && batch.cancel(id)) {
      actions.add(new SchedulerAction.Cancel(id));
    }
  }

  private void finish(RequestId id, long nowMs) {
    Batch.RunningRequest ended = batch.remove(id);
    if (ended != null) {
      serviceTime.add(nowMs - ended.dispatchedMs());
      Slot slot = slots.get(ended.entry().request().adapterVersion());
      if (slot != null) {
        slot.markUsed(nowMs);
      }
    }
  }

  /** Handles a dispatched request that the engine refused because its adapter is not loaded. */
  private void requeueOrRefuse(RequestId id, long nowMs, List<SchedulerAction> actions) {
    boolean canceled = batch.isCanceled(id);
    Batch.RunningRequest refused = batch.remove(id);
    if (refused == null) {
      return;
    }
    ScheduledRequest request = refused.entry().request();
    Slot slot = slots.get(request.adapterVersion());
    if (slot != null && slot.isResident()) {
      slots.confirmEmpty(request.adapterVersion(), refused.slotCommandId(), nowMs);
    }
    if (canceled) {
      return;
    }
    if (ownershipLoss != null) {
      actions.add(new SchedulerAction.Refuse(request, ownershipLoss));
    } else if (refused.entry().requeues() >= MAX_REQUEUES) {
      actions.add(refusal(request, "adapter_not_loaded", "the engine lost the adapter repeatedly"));
    } else {
      queue.requeue(refused.entry());
    }
  }

  private void applyReport(
      SchedulerEvent.EngineReported report, long nowMs, List<SchedulerAction> actions) {
    if (ownershipLoss != null) {
      return;
    }
    reachable = true;
    slots.setCapacity(report.slots());
    batch.setMaxSize(report.maxBatch());
    boolean restarted = report.incarnation() != incarnation;
    if (stateReported && !restarted) {
      slots.reconcile(dispatchableAdapters(report.resident()), batch.adaptersInUse(), nowMs);
      return;
    }
    if (restarted) {
      Failure failure =
          new Failure(Step.ANSWER, target.value(), "engine_restarted", "the engine restarted");
      batch
          .abandonAll()
          .forEach(request -> actions.add(new SchedulerAction.Abandon(request, failure)));
    }
    slots.replaceAll(report.resident(), nowMs);
    incarnation = report.incarnation();
    stateReported = true;
  }

  /**
   * Returns the reported adapter versions to which requests may be dispatched. While commands are
   * not allowed, another instance may own the engine. It may evict adapters that it loaded itself,
   * but not those that this owner held before.
   */
  private Set<AdapterVersion> dispatchableAdapters(Set<AdapterVersion> resident) {
    if (commandsAllowed) {
      return resident;
    }
    return resident.stream()
        .filter(adapterVersion -> slots.get(adapterVersion) != null)
        .collect(Collectors.toSet());
  }

  private void loseOwnership(Failure failure, List<SchedulerAction> actions) {
    queue
        .entries()
        .forEach(
            entry -> {
              queue.remove(entry.request().id());
              actions.add(new SchedulerAction.Refuse(entry.request(), failure));
            });
    slots.clear();
    reachable = false;
    ownershipLoss = failure;
  }

  private void endLoad(long commandId, boolean loaded, long nowMs) {
    if (loadTimes.recordEnd(commandId, loaded, nowMs)) {
      loadLimiter.recordLoadEnd(nowMs);
    }
  }

  private void refuseUnreachableDeadlines(long nowMs, List<SchedulerAction> actions) {
    for (WaitingQueue.Entry entry : queue.entries()) {
      if (isDeadlineUnreachable(entry.request(), nowMs)) {
        queue.remove(entry.request().id());
        actions.add(deadlineRefusal(entry.request()));
      }
    }
  }

  /**
   * Returns whether a request misses its deadline even if it is dispatched as soon as possible and
   * the load and the run take no longer than the low estimates.
   */
  private boolean isDeadlineUnreachable(ScheduledRequest request, long nowMs) {
    AdapterVersion adapterVersion = request.adapterVersion();
    long startMs = nowMs;
    if (slots.get(adapterVersion) == null) {
      startMs = Math.max(nowMs, backoff.retryAtMs(adapterVersion)) + loadTimes.minimumMs();
    }
    return startMs + serviceTime.estimateMs() >= request.deadlineMs();
  }

  private SchedulerAction deadlineRefusal(ScheduledRequest request) {
    Failure cause = backoff.lastFailure(request.adapterVersion());
    String detail = "the request could not be answered by its deadline";
    return refusal(request, "deadline_unreachable", cause == null ? detail : detail + "; " + cause);
  }

  private SchedulerAction refusal(ScheduledRequest request, String code, String detail) {
    return new SchedulerAction.Refuse(
        request, new Failure(Step.QUEUE, target.value(), code, detail));
  }

  private void dispatch(long nowMs, List<SchedulerAction> actions) {
    if (!reachable) {
      return;
    }
    for (WaitingQueue.Entry entry : dispatcher.select(nowMs, serviceTime.estimateMs())) {
      ScheduledRequest request = entry.request();
      queue.remove(request.id());
      if (request.deadlineMs() <= nowMs) {
        actions.add(deadlineRefusal(request));
        continue;
      }
      Slot slot = slots.get(request.adapterVersion());
      slot.markUsed(nowMs);
      batch.add(entry, slot.lastCommandId(), nowMs);
      actions.add(new SchedulerAction.Dispatch(request));
    }
  }

  private void startLoads(long nowMs, List<SchedulerAction> actions) {
    while (mayStartLoad(nowMs)) {
      Optional<WaitingQueue.Group> next = planner.nextLoad(nowMs);
      if (next.isEmpty()) {
        return;
      }
      if (!slots.hasFreeSlot()) {
        evictFor(next.get(), nowMs, actions);
        return;
      }
      if (!loadLimiter.tryStartLoad(nowMs)) {
        return;
      }
      AdapterVersion adapterVersion = next.get().adapterVersion();
      long commandId = slots.startLoad(adapterVersion, nowMs);
      loadTimes.recordStart(commandId, nowMs);
      actions.add(new SchedulerAction.Load(adapterVersion, commandId));
    }
    slots.stopDraining();
  }

  private boolean mayStartLoad(long nowMs) {
    return reachable
        && commandsAllowed
        && planner.hasLoadableGroup(nowMs)
        && loadLimiter.mayStartLoad(nowMs);
  }

  private void evictFor(WaitingQueue.Group group, long nowMs, List<SchedulerAction> actions) {
    if (slots.all().stream().anyMatch(slot -> slot.hasState(Slot.State.UNLOADING))) {
      return;
    }
    planner
        .nextEviction(group, nowMs)
        .ifPresent(
            slot ->
                actions.add(
                    new SchedulerAction.Unload(
                        slot.adapterVersion(), slots.startUnload(slot, nowMs))));
  }
}
