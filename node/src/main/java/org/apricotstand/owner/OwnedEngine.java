package org.apricotstand.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.engine.EngineState;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.schedule.SchedulerAction;
import org.apricotstand.schedule.SchedulerEvent;
import org.apricotstand.schedule.TargetScheduler;

/** Carries out the decisions of one engine's scheduler. Confined to the control thread. */
final class OwnedEngine {

  private static final EventLog LOG = EventLog.of(OwnedEngine.class);
  private static final long COMMAND_TIMEOUT_MS = 15_000;
  private static final long STATE_TIMEOUT_MS = 2_000;

  private final TargetId id;
  private final Target target;
  private final ControlThread control;
  private final EngineClient engines;
  private final Ownership ownership;
  private final TargetScheduler scheduler;
  private final Map<RequestId, Pending> pending = new HashMap<>();
  private boolean polling;

  private record Pending(EngineRequest request, AnswerSink sink) {}

  OwnedEngine(
      TargetId id,
      Target target,
      ControlThread control,
      EngineClient engines,
      Ownership ownership) {
    this.id = id;
    this.target = target;
    this.control = control;
    this.engines = engines;
    this.ownership = ownership;
    this.scheduler = new TargetScheduler(id);
    pollState();
  }

  void submit(EngineRequest request, AnswerSink sink) {
    pending.put(request.scheduled().id(), new Pending(request, sink));
    handle(new SchedulerEvent.Submitted(request.scheduled()));
  }

  void cancel(RequestId requestId) {
    pending.remove(requestId);
    handle(new SchedulerEvent.Canceled(requestId));
  }

  void tick() {
    handle(new SchedulerEvent.Tick());
  }

  void inherited() {
    handle(new SchedulerEvent.Inherited());
  }

  void quarantineEnded() {
    handle(new SchedulerEvent.QuarantineEnded());
  }

  /** Refuses what waits; requests in progress go on. */
  void lost(String reason) {
    handle(
        new SchedulerEvent.OwnershipLost(
            new Failure(Step.QUEUE, id.value(), "not_owner", "ownership ended: " + reason)));
  }

  boolean isIdle() {
    return scheduler.load() == 0;
  }

  PeerMessage.TargetLoad load() {
    return new PeerMessage.TargetLoad(
        id.value(),
        scheduler.load(),
        0,
        scheduler.resident().stream().map(AdapterVersion::toString).toList());
  }

  void pollState() {
    if (polling) {
      return;
    }
    polling = true;
    engines
        .state(target.address(), ControlThread.nowMs() + STATE_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> applyState(result)));
  }

  private void applyState(Result<EngineState> result) {
    polling = false;
    switch (result) {
      case Result.Ok<EngineState>(EngineState state) -> {
        ownership.engineReported(id, state.running() + state.waiting());
        handle(
            new SchedulerEvent.EngineReported(
                state.incarnation(),
                state.resident().stream().map(AdapterVersion::parse).collect(Collectors.toSet()),
                state.slots(),
                state.maxBatch()));
      }
      case Result.Failed<EngineState>(Failure failure) ->
          handle(new SchedulerEvent.EngineLost(failure));
    }
  }

  private void handle(SchedulerEvent event) {
    scheduler.handle(event, ControlThread.nowMs()).forEach(this::perform);
  }

  private void perform(SchedulerAction action) {
    switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> dispatch(request);
      case SchedulerAction.Load(AdapterVersion adapterVersion) -> load(adapterVersion);
      case SchedulerAction.Unload(AdapterVersion adapterVersion) -> unload(adapterVersion);
      case SchedulerAction.Refuse(ScheduledRequest request, Failure failure) ->
          refuse(request, failure);
      case SchedulerAction.Cancel(RequestId requestId) ->
          engines.cancel(
              target.address(), requestId.value(), ControlThread.nowMs() + STATE_TIMEOUT_MS);
    }
  }

  private void refuse(ScheduledRequest request, Failure failure) {
    Pending refused = pending.remove(request.id());
    if (refused != null) {
      refused.sink().failed(new Outcome.NotRun(failure));
    }
  }

  private void dispatch(ScheduledRequest request) {
    Pending dispatched = pending.remove(request.id());
    if (!ownership.mayDispatch(id)) {
      dispatched
          .sink()
          .failed(
              new Outcome.NotRun(
                  new Failure(Step.DISPATCH, id.value(), "lease_expired", "ownership ended")));
      control.execute(() -> handle(new SchedulerEvent.Finished(request.id())));
      return;
    }
    EngineReply reply =
        new EngineReply(
            id,
            dispatched.request(),
            dispatched.sink(),
            () -> control.execute(() -> handle(new SchedulerEvent.Finished(request.id()))));
    engines.run(target.address(), ownership.fencingOf(id), dispatched.request(), reply);
  }

  private void load(AdapterVersion adapterVersion) {
    engines
        .load(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(result -> control.execute(() -> loaded(adapterVersion, result)));
  }

  private void loaded(AdapterVersion adapterVersion, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok -> handle(new SchedulerEvent.LoadFinished(adapterVersion));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("load_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.LoadFailed(adapterVersion, failure));
      }
    }
  }

  private void unload(AdapterVersion adapterVersion) {
    engines
        .unload(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(result -> control.execute(() -> unloaded(adapterVersion, result)));
  }

  private void unloaded(AdapterVersion adapterVersion, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok -> handle(new SchedulerEvent.UnloadFinished(adapterVersion));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("unload_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.UnloadFailed(adapterVersion, failure));
      }
    }
  }

  private static long commandDeadlineMs() {
    return ControlThread.nowMs() + COMMAND_TIMEOUT_MS;
  }
}
