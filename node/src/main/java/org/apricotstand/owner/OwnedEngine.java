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

/** Carries out the decisions of one engine's scheduler. Confined to the control thread. */
final class OwnedEngine {

  private static final EventLog LOG = EventLog.of(OwnedEngine.class);
  private static final long COMMAND_TIMEOUT_MS = 15_000;
  private static final long STATE_TIMEOUT_MS = 2_000;
  private static final long CANCEL_PAUSE_MS = 500;

  /** An engine that can't be reached for this long has ended what ran on a broken connection. */
  private static final long END_LIMIT_MS = 60_000;

  private final TargetId id;
  private final Target target;
  private final ControlThread control;
  private final EngineClient engines;
  private final Ownership ownership;
  private final RequestGuard guard;
  private final Tracing tracing;
  private final TargetScheduler scheduler;
  private final Map<RequestId, Pending> pending = new HashMap<>();
  private final Supplier<DeclarationSet> declarations;
  private DeclarationSet applied;
  private boolean commandsAllowed = true;
  private boolean polling;
  private long incarnation;

  private static final class Pending {
    private final EngineRequest request;
    private final AnswerSink sink;
    private EngineReply reply;

    Pending(EngineRequest request, AnswerSink sink) {
      this.request = request;
      this.sink = sink;
    }
  }

  OwnedEngine(
      TargetId id,
      Target target,
      ControlThread control,
      EngineClient engines,
      Ownership ownership,
      RequestGuard guard,
      Tracing tracing,
      Supplier<DeclarationSet> declarations,
      TargetScheduler scheduler) {
    this.id = id;
    this.target = target;
    this.control = control;
    this.engines = engines;
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
    if (pending.containsKey(requestId)) {
      sink.failed(
          notRun("duplicate_request", "a request of this id waits or runs already: " + requestId));
      return;
    }
    pending.put(requestId, new Pending(request, sink));
    handle(new SchedulerEvent.RequestSubmitted(request.scheduled()));
  }

  void cancel(RequestId requestId) {
    Pending canceled = pending.remove(requestId);
    if (canceled != null && canceled.reply != null) {
      canceled.reply.forgoResumption();
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

  void inherited() {
    handle(new SchedulerEvent.QuarantineStarted());
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
    return scheduler.requestCount() == 0;
  }

  private void applyDeclarations() {
    DeclarationSet current = declarations.get();
    if (current != applied) {
      applied = current;
      handle(
          new SchedulerEvent.DeclarationsChanged(
              current.adapters().stream()
                  .filter(DeclarationSet.Adapter::pinned)
                  .map(DeclarationSet.Adapter::name)
                  .collect(Collectors.toSet()),
              current.policy().stallWeight()));
    }
  }

  PeerMessage.TargetLoad load() {
    return new PeerMessage.TargetLoad(
        id.value(),
        scheduler.waiting(),
        scheduler.running(),
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
        incarnation = state.incarnation();
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
      case SchedulerAction.Load(AdapterVersion adapterVersion, long order) ->
          load(adapterVersion, order);
      case SchedulerAction.Unload(AdapterVersion adapterVersion, long order) ->
          unload(adapterVersion, order);
      case SchedulerAction.Refuse(ScheduledRequest request, Failure failure) ->
          refuse(request, failure);
      case SchedulerAction.Abandon(ScheduledRequest request, Failure failure) ->
          abandon(request, failure);
      case SchedulerAction.Cancel(RequestId requestId) ->
          engines.cancel(
              target.address(), requestId.value(), ControlThread.nowMs() + STATE_TIMEOUT_MS);
    }
  }

  private void refuse(ScheduledRequest request, Failure failure) {
    Pending refused = pending.remove(request.id());
    if (refused != null) {
      refused.sink.failed(new Outcome.NotRun(failure));
    }
  }

  private void abandon(ScheduledRequest request, Failure failure) {
    LOG.warn("request_abandoned", "target", id, "request", request.id(), "failure", failure);
    Pending abandoned = pending.remove(request.id());
    if (abandoned != null && abandoned.reply != null) {
      abandoned.reply.abandon();
    }
  }

  private void dispatch(ScheduledRequest request) {
    Pending dispatched = pending.get(request.id());
    if (dispatched == null) {
      control.execute(() -> handle(new SchedulerEvent.RequestFinished(request.id())));
      return;
    }
    if (!ownership.mayDispatch(id)) {
      pending.remove(request.id());
      dispatched.sink.failed(notRun("lease_expired", "ownership ended"));
      control.execute(() -> handle(new SchedulerEvent.RequestFinished(request.id())));
      return;
    }
    Tracing.Hop hop = tracing.start("engine", dispatched.request.traceparent(), "target", id);
    AnswerSink watched =
        guard.dispatched(
            id,
            target.address(),
            incarnation,
            dispatched.request,
            new TracedSink(dispatched.sink, hop));
    dispatched.reply =
        new EngineReply(
            id,
            dispatched.request,
            watched,
            ending(request.id(), dispatched),
            (fromToken, rest) -> resume(dispatched.request, fromToken, rest));
    engines.run(
        target.address(),
        ownership.fencingOf(id),
        dispatched.request.withTraceparent(hop.traceparent()),
        dispatched.reply);
  }

  private void resume(EngineRequest request, long fromToken, ReplyListener rest) {
    if (!ownership.mayDispatch(id)) {
      rest.onFailure(new CallFailure(false, "lease_expired", "ownership ended"));
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
    engines.resume(target.address(), ownership.fencingOf(id), request, fromToken, rest);
  }

  private EngineReply.Ending ending(RequestId requestId, Pending dispatched) {
    return new EngineReply.Ending() {
      @Override
      public void finished() {
        control.execute(
            () -> {
              pending.remove(requestId, dispatched);
              handle(new SchedulerEvent.RequestFinished(requestId));
            });
      }

      @Override
      public void broken() {
        control.execute(
            () -> {
              pending.remove(requestId, dispatched);
              awaitEnd(requestId, ControlThread.nowMs() + END_LIMIT_MS);
            });
      }

      @Override
      public void notLoaded(Failure failure) {
        control.execute(() -> requeue(requestId, dispatched, failure));
      }
    };
  }

  /**
   * Cancels a request whose connection broke, and repeats that until the engine confirms it: the
   * engine may still run the request, so its adapter counts as in use until then.
   */
  private void awaitEnd(RequestId requestId, long untilMs) {
    long nowMs = ControlThread.nowMs();
    engines
        .cancel(target.address(), requestId.value(), nowMs + STATE_TIMEOUT_MS)
        .thenAccept(
            result ->
                control.execute(
                    () -> {
                      if (result instanceof Result.Ok<Void> || ControlThread.nowMs() >= untilMs) {
                        handle(new SchedulerEvent.RequestFinished(requestId));
                      } else {
                        control.executeAt(
                            ControlThread.nowMs() + CANCEL_PAUSE_MS,
                            () -> awaitEnd(requestId, untilMs));
                      }
                    }));
  }

  /** Puts a request back that the engine refused; fails it when the scheduler gave it up before. */
  private void requeue(RequestId requestId, Pending dispatched, Failure failure) {
    boolean wanted = scheduler.hasRequest(requestId) && pending.get(requestId) == dispatched;
    handle(new SchedulerEvent.AdapterNotLoaded(requestId));
    if (!wanted) {
      pending.remove(requestId, dispatched);
      dispatched.sink.failed(new Outcome.NotRun(failure));
    }
  }

  private Outcome.NotRun notRun(String code, String detail) {
    return new Outcome.NotRun(new Failure(Step.DISPATCH, id.value(), code, detail));
  }

  private void load(AdapterVersion adapterVersion, long order) {
    if (!ownership.mayCommand(id)) {
      control.execute(() -> loaded(adapterVersion, order, Result.failed(expired())));
      return;
    }
    engines
        .load(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(result -> control.execute(() -> loaded(adapterVersion, order, result)));
  }

  private void loaded(AdapterVersion adapterVersion, long order, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok -> handle(new SchedulerEvent.LoadFinished(adapterVersion, order));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("load_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.LoadFailed(adapterVersion, order, failure));
      }
    }
  }

  private void unload(AdapterVersion adapterVersion, long order) {
    if (!ownership.mayCommand(id)) {
      control.execute(() -> unloaded(adapterVersion, order, Result.failed(expired())));
      return;
    }
    engines
        .unload(target.address(), adapterVersion, ownership.fencingOf(id), commandDeadlineMs())
        .thenAccept(result -> control.execute(() -> unloaded(adapterVersion, order, result)));
  }

  private void unloaded(AdapterVersion adapterVersion, long order, Result<Void> result) {
    switch (result) {
      case Result.Ok<Void> ok -> handle(new SchedulerEvent.UnloadFinished(adapterVersion, order));
      case Result.Failed<Void>(Failure failure) -> {
        LOG.warn("unload_failed", "target", id, "adapter", adapterVersion, "failure", failure);
        handle(new SchedulerEvent.UnloadFailed(adapterVersion, order, failure));
      }
    }
  }

  private Failure expired() {
    return new Failure(Step.LOAD, id.value(), "lease_expired", "ownership ended or is frozen");
  }

  private static long commandDeadlineMs() {
    return ControlThread.nowMs() + COMMAND_TIMEOUT_MS;
  }
}
