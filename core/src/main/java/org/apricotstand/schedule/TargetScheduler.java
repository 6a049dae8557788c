package org.apricotstand.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;

/**
 * Decides what one engine runs, loads and unloads. One instance of this class exists per owned
 * engine; it is confined to the control thread.
 *
 * <pre>{@code
 * List<SchedulerAction> actions = scheduler.handle(new SchedulerEvent.Submitted(request), nowMs);
 * }</pre>
 */
public final class TargetScheduler {

  private final TargetId target;
  private final Map<RequestId, ScheduledRequest> waiting = new LinkedHashMap<>();
  private final Map<RequestId, ScheduledRequest> running = new LinkedHashMap<>();
  private final Map<AdapterVersion, Slot> slots = new LinkedHashMap<>();
  private int slotCount;
  private int maxBatch;
  private long incarnation;
  private boolean reachable;

  private enum SlotState {
    LOADING,
    RESIDENT,
    UNLOADING
  }

  private record Slot(SlotState state, long lastUsedMs) {}

  /** Creates a scheduler for an engine that has not reported yet. */
  public TargetScheduler(TargetId target) {
    this.target = target;
  }

  /**
   * Applies an event and returns what has to be done for it.
   *
   * @param nowMs monotonic time
   */
  public List<SchedulerAction> handle(SchedulerEvent event, long nowMs) {
    List<SchedulerAction> actions = new ArrayList<>();
    switch (event) {
      case SchedulerEvent.Submitted(ScheduledRequest request) -> waiting.put(request.id(), request);
      case SchedulerEvent.Canceled(RequestId id) -> cancel(id, actions);
      case SchedulerEvent.Finished(RequestId id) -> finish(id, nowMs);
      case SchedulerEvent.LoadFinished(AdapterVersion loaded) ->
          slots.put(loaded, new Slot(SlotState.RESIDENT, nowMs));
      case SchedulerEvent.LoadFailed(AdapterVersion failed, Failure failure) ->
          refuseGroup(failed, failure, actions);
      case SchedulerEvent.UnloadFinished(AdapterVersion unloaded) -> slots.remove(unloaded);
      case SchedulerEvent.UnloadFailed(AdapterVersion kept, Failure failure) ->
          slots.put(kept, new Slot(SlotState.RESIDENT, nowMs));
      case SchedulerEvent.EngineReported report -> applyReport(report, nowMs);
      case SchedulerEvent.EngineLost lost -> reachable = false;
      case SchedulerEvent.Inherited inherited -> {}
      case SchedulerEvent.QuarantineEnded ended -> {}
      case SchedulerEvent.CommandsAllowed allowed -> {}
      case SchedulerEvent.OwnershipLost lost -> {}
      case SchedulerEvent.Tick tick -> {}
    }
    refuseOverdue(nowMs, actions);
    dispatchResident(nowMs, actions);
    orderLoads(nowMs, actions);
    return actions;
  }

  /** Returns the adapter versions that the engine holds, as far as this owner knows. */
  public List<AdapterVersion> resident() {
    return slots.entrySet().stream()
        .filter(slot -> slot.getValue().state() == SlotState.RESIDENT)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of requests that wait or run. */
  public int load() {
    return waiting.size() + running.size();
  }

  private void cancel(RequestId id, List<SchedulerAction> actions) {
    waiting.remove(id);
    if (running.containsKey(id)) {
      actions.add(new SchedulerAction.Cancel(id));
    }
  }

  private void finish(RequestId id, long nowMs) {
    ScheduledRequest request = running.remove(id);
    if (request != null) {
      slots.computeIfPresent(
          request.adapterVersion(), (name, slot) -> new Slot(slot.state(), nowMs));
    }
  }

  private void applyReport(SchedulerEvent.EngineReported report, long nowMs) {
    boolean restarted = report.incarnation() != incarnation;
    reachable = true;
    slotCount = report.slots();
    maxBatch = report.maxBatch();
    if (restarted) {
      incarnation = report.incarnation();
      slots.clear();
      report.resident().forEach(name -> slots.put(name, new Slot(SlotState.RESIDENT, nowMs)));
    }
  }

  private void refuseGroup(
      AdapterVersion adapterVersion, Failure failure, List<SchedulerAction> actions) {
    slots.remove(adapterVersion);
    waiting.values().stream()
        .filter(request -> request.adapterVersion().equals(adapterVersion))
        .toList()
        .forEach(request -> refuse(request, failure, actions));
  }

  private void refuseOverdue(long nowMs, List<SchedulerAction> actions) {
    Failure failure =
        new Failure(
            Step.QUEUE, target.value(), "deadline_exceeded", "the deadline passed in the queue");
    waiting.values().stream()
        .filter(request -> request.deadlineMs() <= nowMs)
        .toList()
        .forEach(request -> refuse(request, failure, actions));
  }

  private void refuse(ScheduledRequest request, Failure failure, List<SchedulerAction> actions) {
    waiting.remove(request.id());
    actions.add(new SchedulerAction.Refuse(request, failure));
  }

  private void dispatchResident(long nowMs, List<SchedulerAction> actions) {
    if (!reachable) {
      return;
    }
    List<ScheduledRequest> ready =
        waiting.values().stream()
            .filter(request -> isResident(request.adapterVersion()))
            .sorted(byUrgency())
            .limit(Math.max(0, maxBatch - running.size()))
            .toList();
    for (ScheduledRequest request : ready) {
      waiting.remove(request.id());
      running.put(request.id(), request);
      slots.put(request.adapterVersion(), new Slot(SlotState.RESIDENT, nowMs));
      actions.add(new SchedulerAction.Dispatch(request));
    }
  }

  private void orderLoads(long nowMs, List<SchedulerAction> actions) {
    if (!reachable) {
      return;
    }
    List<AdapterVersion> missing =
        waiting.values().stream()
            .sorted(byUrgency())
            .map(ScheduledRequest::adapterVersion)
            .distinct()
            .filter(name -> !slots.containsKey(name))
            .toList();
    for (AdapterVersion name : missing) {
      if (slots.size() < slotCount) {
        slots.put(name, new Slot(SlotState.LOADING, nowMs));
        actions.add(new SchedulerAction.Load(name));
      } else {
        unloadOne(actions);
        return;
      }
    }
  }

  private void unloadOne(List<SchedulerAction> actions) {
    if (slots.values().stream().anyMatch(slot -> slot.state() == SlotState.UNLOADING)) {
      return;
    }
    Optional<AdapterVersion> victim =
        slots.entrySet().stream()
            .filter(slot -> slot.getValue().state() == SlotState.RESIDENT)
            .filter(slot -> !isInUse(slot.getKey()))
            .min(Comparator.comparingLong(slot -> slot.getValue().lastUsedMs()))
            .map(Map.Entry::getKey);
    victim.ifPresent(
        name -> {
          slots.computeIfPresent(
              name, (key, slot) -> new Slot(SlotState.UNLOADING, slot.lastUsedMs()));
          actions.add(new SchedulerAction.Unload(name));
        });
  }

  private boolean isResident(AdapterVersion name) {
    Slot slot = slots.get(name);
    return slot != null && slot.state() == SlotState.RESIDENT;
  }

  private boolean isInUse(AdapterVersion name) {
    return running.values().stream().anyMatch(request -> request.adapterVersion().equals(name));
  }

  private static Comparator<ScheduledRequest> byUrgency() {
    return Comparator.comparing(ScheduledRequest::requestClass)
        .thenComparingLong(ScheduledRequest::deadlineMs);
  }
}
