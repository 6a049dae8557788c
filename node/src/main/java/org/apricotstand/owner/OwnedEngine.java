package org.apricotstand.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.engine.EngineState;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.ReplyListener;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Tracing;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.schedule.SchedulerAction;
import org.apricotstand.schedule.SchedulerEvent;
import org.apricotstand.schedule.TargetScheduler;

/**
 * Runs the requests of one engine: passes requests, engine states and results to the engine's
 * scheduler and performs the actions that it returns. Confined to the control thread.
 */
final class OwnedEngine {

  private static final EventLog LOG = EventLog.of(OwnedEngine.class);
  private static final long COMMAND_TIMEOUT_MS = 15_000;
  private static final long STATE_TIMEOUT_MS = 2_000;
  private static final long CANCEL_RETRY_PAUSE_MS = 500;

  /**
   * Time after which the cancellation of a request whose connection broke is no longer retried. An
   * engine that cannot be reached for this long is assumed to have ended the request.
   */
  private static final long CANCEL_TIMEOUT_MS = 60_000;

  private final TargetId id;
  private final Target target;
  private final ControlThread control;
  private final EngineClient engineClient;
  private final Ownership ownership;
  private final RequestGuard guard;
  private final Tracing tracing;
  private final TargetScheduler scheduler;
  private final Map<RequestId, PendingRequest> pendingRequests = new HashMap<>();
  private final Supplier<DeclarationSet> declarations;
  private DeclarationSet appliedDeclarations;
  private boolean commandsAllowed = true;
  private boolean statePollPending;
  private long incarnation;

  private static final class PendingRequest {
    private final EngineRequest request;
    private final AnswerSink sink;
    private EngineAnswerHandler answerHandler;

    PendingRequest(EngineRequest request, AnswerSink sink) {
      this.request = request;
      this.sink = sink;
    }
  }

  OwnedEngine(
      TargetId id,
      Target target,
      ControlThread control,
      EngineClient engineClient,
      Ownership ownership,
      RequestGuard guard,
      Tracing tracing,
      Supplier<DeclarationSet> declarations,
      TargetScheduler scheduler) {
    this.id = id;
    this.target = target;
    this.control = control;
    this.engineClient = engineClient;
    this.ownership = ownership;
    this.guard = guard;
    this.tracing = tracing;
    this.declarations = declarations;
    this.scheduler = scheduler;
    applyDeclarations();
    pollState();
  }

  void submit(EngineRequest request, AnswerSink sink) {
    RequestId requestId = request.scheduled().id();
    if (pendingRequests.containsKey(requestId)) {
      sink.fail(
          notRun(
              "duplicate_request",
              "a request with this id is already waiting or running: " + requestId));
      return;
    }
    pendingRequests.put(requestId, new PendingRequest(request, sink));
    handle(new SchedulerEvent.RequestSubmitted(request.scheduled()));
  }

  void cancel(RequestId requestId) {
    PendingRequest canceled = pendingRequests.remove(requestId);
    if (canceled != null && canceled.answerHandler != null) {
      canceled.answerHandler.disableResume();
    }
    handle(new SchedulerEvent.RequestCanceled(requestId));
  }

  void tick() {
    applyDeclarations();
    boolean allowed = ownership.mayCommand(id);
    if (allowed != commandsAllowed) {
      commandsAllowed = allowed;
      handle(new SchedulerEvent.CommandsAllowed(allowed));
    }
    handle(new SchedulerEvent.Tick());
  }

  void startQuarantine() {
    handle(new SchedulerEvent.QuarantineStarted());
  }

  void endQuarantine() {
    handle(new SchedulerEvent.QuarantineEnded());
  }

  /** Refuses the waiting requests; running requests continue. */
  void loseOwnership(String reason) {
    handle(
        new SchedulerEvent.OwnershipLost(
            new Failure(Step.QUEUE, id.value(), "not_owner", "ownership ended: " + reason)));
  }

  boolean isIdle() {
    return scheduler.requestCount() == 0;
  }

  private void applyDeclarations() {
    DeclarationSet current = declarations.get();
    if (current != appliedDeclarations) {
      appliedDeclarations = current;
      handle(
          new SchedulerEvent.DeclarationsChanged(
              current.adapters().stream()
                  .filter(DeclarationSet.Adapter::pinned)
                  .map(DeclarationSet.Adapter::name)
                  .collect(Collectors.toSet()),
              current.policy().stallWeight()));
    }
  }

  PeerMessage.TargetLoad currentLoad() {
    return new PeerMessage.TargetLoad(
        id.value(),
        scheduler.waiting(),
        scheduler.running(),
        scheduler.resident().stream().map(AdapterVersion::toString).toList());
  }

  void pollState() {
    if (statePollPending) {
      return;
    }
    statePollPending = true;
    engineClient
        .queryState(target.address(), ControlThread.nowMs() + STATE_TIMEOUT_MS)
        .thenAccept(result -> control.execute(() -> applyState(result)));
  }

  private void applyState(Result<EngineState> result) {
    statePollPending = false;
    switch (result) {
      case Result.Ok<EngineState>(EngineState state) -> {
        incarnation = state.incarnation();
        ownership.onEngineReported(id, state.running() + state.waiting());
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
      case SchedulerAction.Load(AdapterVersion adapterVersion, long commandId) ->
          sendLoad(adapterVersion, commandId);
      case SchedulerAction.Unload(AdapterVersion adapterVersion, long commandId) ->
          sendUnload(adapterVersion, commandId);
      case SchedulerAction.Refuse(ScheduledRequest request, Failure failure) ->
          refuse(request, failure);
      case SchedulerAction.Abandon(ScheduledRequest request, Failure failure) ->
          abandon(request, failure);
      case SchedulerAction.Cancel(RequestId requestId) ->
          engineClient.cancel(
              target.address(), requestId.value(), ControlThread.nowMs() + STATE_TIMEOUT_MS);
    }
  }

  private void refuse(ScheduledRequest request, Failure failure) {
    PendingRequest refused = pendingRequests.remove(request.id());
    if (refused != null) {
      refused.sink.fail(new Outcome.NotRun(failure));
    }
  }

  private void abandon(ScheduledRequest request, Failure failure) {
    LOG.warn("request_abandoned", "target", id, "request", request.id(), "failure", failure);
    PendingRequest abandoned = pendingRequests.remove(request.id());
    if (abandoned != null && abandoned.answerHandler != null) {
      abandoned.answerHandler.disconnect();
    }
  }

  private void dispatch(ScheduledRequest request) {
    PendingRequest dispatched = pendingRequests.get(request.id());
    if (dispatched == null) {
      control.execute(() -> handle(new SchedulerEvent.RequestFinished(request.id())));
      return;
    }
    if (!ownership.mayDispatch(id)) {
      pendingRequests.remove(request.id());
      dispatched.sink.fail(notRun("lease_expired", "ownership ended"));
      control.execute(() -> handle(new SchedulerEvent.RequestFinished(request.id())));
      return;
    }
    Tracing.Hop hop = tracing.start("engine", dispatched.request.traceparent(), "target", id);
    AnswerSink guardedSink =
        guard.onDispatched(
            id,
            target.address(),
            incarnation,
            dispatched.request,
            new TracedSink(dispatched.sink, hop));
    dispatched.answerHandler =
        new EngineAnswerHandler(
            id,
            dispatched.request,
            guardedSink,
            createEndListener(request.id(), dispatched),
            (fromToken, listener) -> resume(dispatched.request, fromToken, listener));
    engineClient.sendRequest(
        target.address(),
        ownership.fencingOf(id),
        dispatched.request.withTraceparent(hop.traceparent()),
        dispatched.answerHandler);
  }

  private void resume(EngineRequest request, long fromToken, ReplyListener listener) {
    if (!ownership.mayDispatch(id)) {
      listener.onFailure(new CallFailure(false, "lease_expired", "ownership ended"));
      return;
    }
    LOG.info(
        "stream_resumed",
        "target",
        id,
        "request",
        request.scheduled().id(),
        "from_token",
        fromToken);
    engineClient.resumeStream(
        target.address(), ownership.fencingOf(id), request, fromToken, listener);
  }

  private EngineAnswerHandler.EndListener createEndListener(
      RequestId requestId, PendingRequest dispatched) {
    return new EngineAnswerHandler.EndListener() {
      @Override
      public void onFinished() {
        control.execute(
            () -> {
              pendingRequests.remove(requestId, dispatched);
              handle(new SchedulerEvent.RequestFinished(requestId));
            });
      }

      @Override
      public void onPossiblyRunning() {
        control.execute(
            () -> {
              pendingRequests.remove(requestId, dispatched);
              cancelUntilConfirmed(requestId, ControlThread.nowMs() + CANCEL_TIMEOUT_MS);
            });
      }

      @Override
      public void onAdapterNotLoaded(Failure failure) {
        control.execute(() -> requeue(requestId, dispatched, failure));
      }
    };
  }

  /**
   * Cancels a request whose connection broke, and retries until the engine confirms it or the time
   * is up. The engine may still run the request, so its adapter counts as in use until then.
   */
  private void cancelUntilConfirmed(RequestId requestId, long untilMs) {
    long nowMs = ControlThread.nowMs();
    engineClient
        .cancel(target.address(), requestId.value(), nowMs + STATE_TIMEOUT_MS)
        .thenAccept(
            result ->
                control.execute(
                    () -> {
                      if (result instanceof Result.Ok<Void> || ControlThread.nowMs() >= untilMs) {
                        handle(new SchedulerEvent.RequestFinished(requestId));
                      } else {
                        control.executeAt(
                            ControlThread.nowMs() + CANCEL_RETRY_PAUSE_MS,
                            () -> cancelUntilConfirmed(requestId, untilMs));
                      }
                    }));
  }

  /**
   * Returns a request that the engine refused to the scheduler's queue. The request fails if it was
   * canceled or abandoned before.
   */
  private void requeue(RequestId requestId, PendingRequest dispatched, Failure failure) {
    boolean stillWanted =
        scheduler.hasRequest(requestId) && pendingRequests.get(requestId) == dispatched;
    handle(new SchedulerEvent.AdapterNotLoaded(requestId));
    if (!stillWanted) {
      pendingRequests.remove(requestId, dispatched);
      dispatched.sink.fail(new Outcome.NotRun(failure));
    }
  }

  private Outcome.NotRun notRun(String code, String detail) {
    return new Outcome.NotRun(new Failure(Step.DISPATCH, id.value(), code, detail));
  }

  private void sendLoad(AdapterVersion adapterVersion, long commandId) {
    if (!ownership.mayCommand(id)) {
      control.execute(() -> onLoadResult(adapterVersion, commandId, Result.failed(leaseExpired())));
      return;
    }
    engineClient
        .load(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(
            result -> control.execute(() -> onLoadResult(adapterVersion, commandId, result)));
  }

  private void onLoadResult(AdapterVersion adapterVersion, long commandId, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok -> handle(new SchedulerEvent.LoadFinished(adapterVersion, commandId));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("load_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.LoadFailed(adapterVersion, commandId, failure));
      }
    }
  }

  private void sendUnload(AdapterVersion adapterVersion, long commandId) {
    if (!ownership.mayCommand(id)) {
      control.execute(
          () -> onUnloadResult(adapterVersion, commandId, Result.failed(leaseExpired())));
      return;
    }
    engineClient
        .unload(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(
            result -> control.execute(() -> onUnloadResult(adapterVersion, commandId, result)));
  }

  private void onUnloadResult(AdapterVersion adapterVersion, long commandId, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok ->
          handle(new SchedulerEvent.UnloadFinished(adapterVersion, commandId));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("unload_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.UnloadFailed(adapterVersion, commandId, failure));
      }
    }
  }

  private Failure leaseExpired() {
    return new Failure(
        Step.LOAD, id.value(), "lease_expired", "ownership ended or commands are suspended");
  }

  private static long commandDeadlineMs() {
    return ControlThread.nowMs() + COMMAND_TIMEOUT_MS;
  }
}
