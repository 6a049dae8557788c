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
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.TargetScheduler;

/**
 * Runs model requests on the engines that this instance owns. All methods run on the control
 * thread.
 *
 * <pre>{@code
 * control.execute(() -> owner.submit(target, request, sink));
 * }</pre>
 */
public final class OwnerService implements Service, OwnershipListener {

  private static final long TICK_MS = 50;
  private static final long STATE_POLL_MS = 500;

  private final ControlThread control;
  private final EngineClient engines;
  private final Ownership ownership;
  private final RequestGuard guard;
  private final Function<TargetId, Optional<Target>> targets;
  private final Supplier<DeclarationSet> declarations;
  private final Function<TargetId, TargetScheduler> schedulers;
  private final Map<TargetId, OwnedEngine> owned = new HashMap<>();
  private final Map<TargetId, List<OwnedEngine>> lost = new HashMap<>();

  /**
   * Creates the service.
   *
   * @param targets finds the declaration of a target
   * @param declarations declarations in force
   * @param schedulers makes the scheduler of an engine
   */
  public OwnerService(
      ControlThread control,
      EngineClient engines,
      Ownership ownership,
      RequestGuard guard,
      Function<TargetId, Optional<Target>> targets,
      Supplier<DeclarationSet> declarations,
      Function<TargetId, TargetScheduler> schedulers) {
    this.control = control;
    this.engines = engines;
    this.ownership = ownership;
    this.guard = guard;
    this.targets = targets;
    this.declarations = declarations;
    this.schedulers = schedulers;
  }

  @Override
  public void start() {
    control.executeEvery(TICK_MS, this::tick);
    control.executeEvery(STATE_POLL_MS, () -> owned.values().forEach(OwnedEngine::pollState));
  }

  private void tick() {
    owned.values().forEach(OwnedEngine::tick);
    lost.values().forEach(engines -> engines.forEach(OwnedEngine::tick));
    for (TargetId target : List.copyOf(lost.keySet())) {
      List<OwnedEngine> ended = lost.get(target);
      ended.removeIf(OwnedEngine::isIdle);
      if (ended.isEmpty()) {
        lost.remove(target);
        ownership.requestsEnded(target);
      }
    }
  }

  @Override
  public void gained(TargetId target, boolean quarantined) {
    Optional<Target> declared = targets.apply(target);
    if (declared.isEmpty()) {
      return;
    }
    OwnedEngine engine = take(target, declared.get());
    owned.put(target, engine);
    if (quarantined) {
      engine.inherited();
    }
  }

  @Override
  public void quarantineEnded(TargetId target) {
    OwnedEngine engine = owned.get(target);
    if (engine != null) {
      engine.quarantineEnded();
    }
  }

  @Override
  public void lost(TargetId target, String reason) {
    OwnedEngine engine = owned.remove(target);
    if (engine != null) {
      lost.computeIfAbsent(target, key -> new ArrayList<>()).add(engine);
      engine.lost(reason);
    }
  }

  /** Returns whether no request waits or runs. */
  public boolean isIdle() {
    return lost.isEmpty() && owned.values().stream().allMatch(OwnedEngine::isIdle);
  }

  /** Queues a request for an engine; the sink gets the answer or the failure. */
  public void submit(TargetId target, EngineRequest request, AnswerSink sink) {
    OwnedEngine engine = owned.get(target);
    if (engine == null || !ownership.mayDispatch(target)) {
      sink.failed(
          new Outcome.NotRun(
              new Failure(
                  Step.QUEUE, target.value(), "not_owner", "this instance does not own it")));
      return;
    }
    switch (guard.admit(target, request)) {
      case Result.Ok<EngineRequest>(EngineRequest admitted) ->
          engine.submit(admitted, guard.queued(admitted, sink));
      case Result.Failed<EngineRequest>(Failure failure) ->
          sink.failed(new Outcome.NotRun(failure));
    }
  }

  private OwnedEngine take(TargetId id, Target declared) {
    return new OwnedEngine(
        id, declared, control, engines, ownership, guard, declarations, schedulers.apply(id));
  }

  /** Cancels a request. */
  public void cancel(TargetId target, RequestId id) {
    OwnedEngine engine = owned.get(target);
    if (engine != null) {
      engine.cancel(id);
    }
    lost.getOrDefault(target, List.of()).forEach(former -> former.cancel(id));
  }

  /** Returns the load of an engine for the instances that send requests to it. */
  public PeerMessage.TargetLoad loadOf(TargetId target) {
    OwnedEngine engine = owned.get(target);
    return engine == null
        ? new PeerMessage.TargetLoad(target.value(), 0, 0, List.of())
        : engine.load();
  }
}
