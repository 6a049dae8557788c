package org.apricotstand.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.Tracing;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.TargetScheduler;

/**
 * Queues model requests for the engines that this instance owns and runs them there. Also keeps
 * engines whose ownership was lost until their running requests end. All methods run on the control
 * thread.
 *
 * <pre>{@code
 * control.execute(() -> owner.submit(target, request, sink));
 * }</pre>
 */
public final class OwnerService implements Service, OwnershipListener {

  private static final long TICK_INTERVAL_MS = 50;
  private static final long STATE_POLL_INTERVAL_MS = 500;

  private final ControlThread control;
  private final EngineClient engineClient;
  private final Ownership ownership;
  private final RequestGuard guard;
  private final Tracing tracing;
  private final Function<TargetId, Optional<Target>> targetLookup;
  private final Supplier<DeclarationSet> declarations;
  private final Function<TargetId, TargetScheduler> schedulerFactory;
  private final Map<TargetId, OwnedEngine> ownedEngines = new HashMap<>();
  private final Map<TargetId, List<OwnedEngine>> lostEngines = new HashMap<>();

  /**
   * Creates the service.
   *
   * @param targetLookup finds the declaration of a target
   * @param declarations supplies the declarations of the active revision
   * @param schedulerFactory creates the scheduler of an engine
   */
  public OwnerService(
      ControlThread control,
      EngineClient engineClient,
      Ownership ownership,
      RequestGuard guard,
      Tracing tracing,
      Function<TargetId, Optional<Target>> targetLookup,
      Supplier<DeclarationSet> declarations,
      Function<TargetId, TargetScheduler> schedulerFactory) {
    this.control = control;
    this.engineClient = engineClient;
    this.ownership = ownership;
    this.guard = guard;
    this.tracing = tracing;
    this.targetLookup = targetLookup;
    this.declarations = declarations;
    this.schedulerFactory = schedulerFactory;
  }

  @Override
  public void start() {
    control.executeEvery(TICK_INTERVAL_MS, this::tick);
    control.executeEvery(
        STATE_POLL_INTERVAL_MS, () -> ownedEngines.values().forEach(OwnedEngine::pollState));
  }

  private void tick() {
    ownedEngines.values().forEach(OwnedEngine::tick);
    lostEngines.values().forEach(engines -> engines.forEach(OwnedEngine::tick));
    for (TargetId target : List.copyOf(lostEngines.keySet())) {
      List<OwnedEngine> remaining = lostEngines.get(target);
      remaining.removeIf(OwnedEngine::isIdle);
      if (remaining.isEmpty()) {
        lostEngines.remove(target);
        ownership.onRequestsEnded(target);
      }
    }
  }

  @Override
  public void onOwnershipGained(TargetId target, boolean quarantined) {
    Optional<Target> declared = targetLookup.apply(target);
    if (declared.isEmpty()) {
      return;
    }
    OwnedEngine engine = createEngine(target, declared.get());
    ownedEngines.put(target, engine);
    if (quarantined) {
      engine.startQuarantine();
    }
  }

  @Override
  public void onQuarantineEnded(TargetId target) {
    OwnedEngine engine = ownedEngines.get(target);
    if (engine != null) {
      engine.endQuarantine();
    }
  }

  @Override
  public void onOwnershipLost(TargetId target, String reason) {
    OwnedEngine engine = ownedEngines.remove(target);
    if (engine != null) {
      lostEngines.computeIfAbsent(target, key -> new ArrayList<>()).add(engine);
      engine.loseOwnership(reason);
    }
  }

  /** Returns whether no request waits or runs at any engine. */
  public boolean isIdle() {
    return lostEngines.isEmpty() && ownedEngines.values().stream().allMatch(OwnedEngine::isIdle);
  }

  /**
   * Queues a request for an engine. The sink receives the answer, or a failure, for example if this
   * instance does not own the engine.
   */
  public void submit(TargetId target, EngineRequest request, AnswerSink sink) {
    Tracing.Hop hop = tracing.start("owner", request.traceparent(), "target", target);
    submitTraced(target, request.withTraceparent(hop.traceparent()), new TracedSink(sink, hop));
  }

  private void submitTraced(TargetId target, EngineRequest request, AnswerSink sink) {
    OwnedEngine engine = ownedEngines.get(target);
    if (engine == null || !ownership.mayDispatch(target)) {
      sink.fail(
          new Outcome.NotRun(
              new Failure(
                  Step.QUEUE,
                  target.value(),
                  "not_owner",
                  "this instance does not own the engine")));
      return;
    }
    switch (guard.admit(target, request)) {
      case Result.Ok<EngineRequest>(EngineRequest admitted) ->
          engine.submit(admitted, guard.onQueued(admitted, sink));
      case Result.Failed<EngineRequest>(Failure failure) -> sink.fail(new Outcome.NotRun(failure));
    }
  }

  private OwnedEngine createEngine(TargetId id, Target declared) {
    return new OwnedEngine(
        id,
        declared,
        control,
        engineClient,
        ownership,
        guard,
        tracing,
        declarations,
        schedulerFactory.apply(id));
  }

  /** Cancels a request that waits or runs at an engine. */
  public void cancel(TargetId target, RequestId id) {
    OwnedEngine engine = ownedEngines.get(target);
    if (engine != null) {
      engine.cancel(id);
    }
    lostEngines.getOrDefault(target, List.of()).forEach(former -> former.cancel(id));
  }

  /**
   * Returns the load of an engine, to be reported to the instances that send requests to it; zero
   * if this instance does not own the engine.
   */
  public PeerMessage.TargetLoad loadOf(TargetId target) {
    OwnedEngine engine = ownedEngines.get(target);
    return engine == null
        ? new PeerMessage.TargetLoad(target.value(), 0, 0, List.of())
        : engine.currentLoad();
  }
}
