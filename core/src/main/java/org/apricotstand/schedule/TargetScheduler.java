package org.apricotstand.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apricotstand.budget.LoadRights;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.Policy;

/**
 * Decides what one engine runs, loads and unloads. One instance of this class exists per owned
 * engine; it is confined to the control thread.
 *
 * <pre>{@code
 * List<SchedulerAction> actions = scheduler.handle(new SchedulerEvent.Submitted(request), nowMs);
 * }</pre>
 */
public final class TargetScheduler {

  /** Requests that wait for one engine at most. */
  static final int MAX_WAITING = 1_000;

  /** Times a request is put back because its adapter was not loaded, before it is refused. */
  private static final int MAX_REQUEUES = 3;

  private static final long FORGET_BACKOFF_MS = 60_000;

  private final TargetId target;
  private final LoadRights rights;
  private final WaitingQueue queue;
  private final SlotTable slots = new SlotTable();
  private final Batch batch = new Batch();
  private final LoadBackoff backoff;
  private final Valuation valuation = new Valuation();
  private final Dispatcher dispatcher;
  private final LoadPlanner planner;
  private final LoadTimes loadTimes = new LoadTimes();
  private final ShortestTime serviceTime = new ShortestTime();
  private boolean reported;
  private long incarnation;
  private boolean reachable;
  private boolean commandsAllowed = true;
  // Set once: a scheduler is not used again after its ownership ended, since a state report that is
  // still underway could otherwise make two schedulers of this instance command the engine.
  private Failure ownershipLost;

  /**
   * Creates a scheduler for an engine that has not reported yet.
   *
   * @param rights rights to start loads, shared by all engines of this instance
   * @param random generator for the jitter of repeated loads
   */
  public TargetScheduler(
      TargetId target, Policy policy, LoadRights rights, RandomGenerator random) {
    this.target = target;
    this.rights = rights;
    this.backoff = new LoadBackoff(random);
    boolean byValue = policy.ordersByValue();
    Comparator<WaitingQueue.Entry> order =
        byValue ? WaitingQueue.BY_URGENCY : WaitingQueue.BY_ARRIVAL;
    this.queue = new WaitingQueue(order);
    this.dispatcher = new Dispatcher(queue, slots, batch, order, byValue);
    this.planner = new LoadPlanner(queue, slots, batch, backoff, valuation, byValue);
  }

  /**
   * Applies an event and returns what has to be done for it.
   *
   * @param nowMs monotonic time
   */
  public List<SchedulerAction> handle(SchedulerEvent event, long nowMs) {
    List<SchedulerAction> actions = new ArrayList<>();
    apply(event, nowMs, actions);
    dispatch(nowMs, actions);
    orderLoads(nowMs, actions);
    return actions;
  }

  /** Returns the adapter versions that the engine holds, as far as this owner knows. */
  public List<AdapterVersion> resident() {
    return slots.all().stream().filter(Slot::isResident).map(Slot::adapterVersion).toList();
  }

  /** Returns the number of requests that wait, run or may still reach a restarted engine. */
  public int load() {
    return waiting() + running() + batch.unconfirmedSize();
  }

  /** Returns whether a request waits or runs here. */
  public boolean holds(RequestId id) {
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
      case SchedulerEvent.Submitted(ScheduledRequest request) -> submit(request, nowMs, actions);
      case SchedulerEvent.Canceled(RequestId id) -> cancel(id, actions);
      case SchedulerEvent.Finished(RequestId id) -> finish(id, nowMs);
      case SchedulerEvent.NotLoaded(RequestId id) -> notLoaded(id, nowMs, actions);
      case SchedulerEvent.LoadFinished(AdapterVersion loaded, long order) -> {
        endLoad(order, true, nowMs);
        backoff.succeeded(loaded);
        if (commandsAllowed) {
          slots.confirmResident(loaded, order, nowMs);
        } else {
          slots.confirmEmpty(loaded, order, nowMs);
        }
      }
      case SchedulerEvent.LoadFailed(AdapterVersion failed, long order, Failure failure) -> {
        endLoad(order, false, nowMs);
        if (slots.confirmEmpty(failed, order, nowMs)) {
          backoff.failed(failed, failure, nowMs);
        }
      }
      case SchedulerEvent.UnloadFinished(AdapterVersion unloaded, long order) ->
          slots.confirmEmpty(unloaded, order, nowMs);
      case SchedulerEvent.UnloadFailed(AdapterVersion kept, long order, Failure failure) ->
          slots.confirmResident(kept, order, nowMs);
      case SchedulerEvent.EngineReported report -> applyReport(report, nowMs, actions);
      case SchedulerEvent.Declared(Set<String> pinned, double stallWeight) -> {
        planner.setPinned(pinned);
        slots.stopDraining();
        dispatcher.setStallWeight(stallWeight);
      }
      case SchedulerEvent.EngineLost lost -> reachable = false;
      case SchedulerEvent.Inherited inherited -> {
        slots.setQuarantine(true);
        slots.stopDraining();
      }
      case SchedulerEvent.QuarantineEnded ended -> slots.setQuarantine(false);
      case SchedulerEvent.CommandsAllowed(boolean allowed) -> commandsAllowed = allowed;
      case SchedulerEvent.OwnershipLost(Failure failure) -> loseOwnership(failure, actions);
      case SchedulerEvent.Tick tick -> {
        refuseHopeless(nowMs, actions);
        backoff.forgetBefore(nowMs - FORGET_BACKOFF_MS);
      }
    }
  }

  private void submit(ScheduledRequest request, long nowMs, List<SchedulerAction> actions) {
    if (ownershipLost != null) {
      actions.add(new SchedulerAction.Refuse(request, ownershipLost));
      return;
    }
    if (queue.contains(request.id()) || batch.contains(request.id())) {
      actions.add(
          refusal(request, "duplicate_request", "a request of this id waits or runs already"));
      return;
    }
    valuation.requested(request.adapterVersion(), nowMs);
    if (isHopeless(request, nowMs)) {
      actions.add(hopeless(request));
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
    Batch.Running ended = batch.remove(id);
    if (ended != null) {
      serviceTime.add(nowMs - ended.dispatchedMs());
      Slot slot = slots.get(ended.entry().request().adapterVersion());
      if (slot != null) {
        slot.used(nowMs);
      }
    }
  }

  private void notLoaded(RequestId id, long nowMs, List<SchedulerAction> actions) {
    boolean canceled = batch.isCanceled(id);
    Batch.Running refused = batch.remove(id);
    if (refused == null) {
      return;
    }
    ScheduledRequest request = refused.entry().request();
    Slot slot = slots.get(request.adapterVersion());
    if (slot != null && slot.isResident()) {
      slots.confirmEmpty(request.adapterVersion(), refused.slotOrder(), nowMs);
    }
    if (canceled) {
      return;
    }
    if (ownershipLost != null) {
      actions.add(new SchedulerAction.Refuse(request, ownershipLost));
    } else if (refused.entry().requeues() >= MAX_REQUEUES) {
      actions.add(refusal(request, "adapter_not_loaded", "the engine lost the adapter repeatedly"));
    } else {
      queue.requeue(refused.entry());
    }
  }

  private void applyReport(
      SchedulerEvent.EngineReported report, long nowMs, List<SchedulerAction> actions) {
    if (ownershipLost != null) {
      return;
    }
    reachable = true;
    slots.setCapacity(report.slots());
    batch.setMaxSize(report.maxBatch());
    boolean restarted = report.incarnation() != incarnation;
    if (reported && !restarted) {
      slots.reconcile(trusted(report.resident()), batch.inUse(), nowMs);
      return;
    }
    if (restarted) {
      Failure failure =
          new Failure(Step.ANSWER, target.value(), "engine_restarted", "the engine restarted");
      batch
          .abandonAll()
          .forEach(request -> actions.add(new SchedulerAction.Abandon(request, failure)));
    }
    slots.restart(report.resident(), nowMs);
    incarnation = report.incarnation();
    reported = true;
  }

  /**
   * Returns the adapter versions of a report that may be dispatched to. While commands are not
   * allowed, another instance may own the engine: it may evict what it loaded itself, but not what
   * this owner held before.
   */
  private Set<AdapterVersion> trusted(Set<AdapterVersion> resident) {
    if (commandsAllowed) {
      return resident;
    }
    return resident.stream().filter(name -> slots.get(name) != null).collect(Collectors.toSet());
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
    ownershipLost = failure;
  }

  private void endLoad(long order, boolean loaded, long nowMs) {
    if (loadTimes.ended(order, loaded, nowMs)) {
      rights.loadEnded(nowMs);
    }
  }

  private void refuseHopeless(long nowMs, List<SchedulerAction> actions) {
    for (WaitingQueue.Entry entry : queue.entries()) {
      if (isHopeless(entry.request(), nowMs)) {
        queue.remove(entry.request().id());
        actions.add(hopeless(entry.request()));
      }
    }
  }

  /** Whether a request can't be answered by its deadline even if all goes well from now on. */
  private boolean isHopeless(ScheduledRequest request, long nowMs) {
    AdapterVersion name = request.adapterVersion();
    long startMs = nowMs;
    if (slots.get(name) == null) {
      startMs = Math.max(nowMs, backoff.retryMs(name)) + loadTimes.shortestMs();
    }
    return startMs + serviceTime.estimateMs() >= request.deadlineMs();
  }

  private SchedulerAction hopeless(ScheduledRequest request) {
    Failure cause = backoff.lastFailure(request.adapterVersion());
    String detail = "it could not be answered by its deadline";
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
        actions.add(hopeless(request));
        continue;
      }
      Slot slot = slots.get(request.adapterVersion());
      slot.used(nowMs);
      batch.add(entry, slot.order(), nowMs);
      actions.add(new SchedulerAction.Dispatch(request));
    }
  }

  private void orderLoads(long nowMs, List<SchedulerAction> actions) {
    while (mayOrderLoad(nowMs)) {
      Optional<WaitingQueue.Group> next = planner.nextLoad(nowMs);
      if (next.isEmpty()) {
        return;
      }
      if (!slots.hasFree()) {
        evictFor(next.get(), nowMs, actions);
        return;
      }
      if (!rights.tryStartLoad(nowMs)) {
        return;
      }
      AdapterVersion name = next.get().adapterVersion();
      long order = slots.startLoad(name, nowMs);
      loadTimes.started(order, nowMs);
      actions.add(new SchedulerAction.Load(name, order));
    }
    slots.stopDraining();
  }

  private boolean mayOrderLoad(long nowMs) {
    return reachable
        && commandsAllowed
        && planner.isLoadWanted(nowMs)
        && rights.mayStartLoad(nowMs);
  }

  private void evictFor(WaitingQueue.Group group, long nowMs, List<SchedulerAction> actions) {
    if (slots.all().stream().anyMatch(slot -> slot.is(Slot.State.UNLOADING))) {
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
