package org.apricotstand.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotstand.budget.LoadLimiter;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.schedule.SchedulerAction;
import org.apricotstand.schedule.SchedulerEvent;
import org.apricotstand.schedule.TargetScheduler;

/** Drives the scheduler of one engine that a simulated instance owns or owned. */
final class SimulatedOwner {

  private static final Failure FAILURE = new Failure(Step.LOAD, "engine", "refused", "refused");
  private static final int ADAPTER_COUNT = 4;
  private static final int MAX_BATCH = 8;

  private static final LoadLimiter UNLIMITED_LOADS =
      new LoadLimiter() {
        @Override
        public boolean mayStartLoad(long nowMs) {
          return true;
        }

        @Override
        public boolean tryStartLoad(long nowMs) {
          return true;
        }

        @Override
        public void recordLoadEnd(long nowMs) {}
      };

  private final SimulatedInstance instance;
  private final OwnershipSimulation simulation;
  private final TargetId target;
  private final long fencing;
  private final FakeEngine engine;
  private final TargetScheduler scheduler;
  private final Set<RequestId> runningRequests = new HashSet<>();
  private boolean commandsAllowed = true;
  private boolean lost;
  private long nextReportMs;

  SimulatedOwner(SimulatedInstance instance, OwnershipAction.OwnershipGained gained) {
    this.instance = instance;
    this.simulation = instance.simulation;
    this.target = gained.target();
    this.fencing = gained.fencing();
    this.engine = simulation.engines.get(target);
    this.scheduler =
        new TargetScheduler(
            target, PlacementPolicy.parse("affinity"), UNLIMITED_LOADS, instance.random.split());
    handle(new SchedulerEvent.DeclarationsChanged(Set.of(), 1));
    if (gained.quarantined()) {
      handle(new SchedulerEvent.QuarantineStarted());
    }
  }

  void tick() {
    if (!lost) {
      boolean allowed = instance.mayCommand(target);
      if (allowed != commandsAllowed) {
        commandsAllowed = allowed;
        handle(new SchedulerEvent.CommandsAllowed(allowed));
      }
      if (simulation.nowMs >= nextReportMs) {
        nextReportMs = simulation.nowMs + 1_000;
        scheduleReport();
      }
      if (instance.random.nextInt(3) == 0) {
        submit();
      }
    }
    handle(new SchedulerEvent.Tick());
  }

  private void scheduleReport() {
    Set<AdapterVersion> resident = engine.residentAdapters();
    int running = engine.runningRequests();
    runAfterDelay(
        () -> {
          instance.handle(new OwnershipEvent.EngineReported(target, running));
          if (!lost) {
            handle(new SchedulerEvent.EngineReported(1, resident, engine.slots, MAX_BATCH));
          }
        });
  }

  private void submit() {
    AdapterVersion adapter =
        new AdapterVersion("adapter-" + instance.random.nextInt(ADAPTER_COUNT), "v1");
    RequestId id = new RequestId(instance + "-" + target + "-" + simulation.random.nextLong());
    long nowMs = instance.clockMs();
    handle(
        new SchedulerEvent.RequestSubmitted(
            new ScheduledRequest(
                id,
                1,
                adapter,
                RequestClass.STANDARD,
                "test",
                nowMs,
                nowMs + OwnershipSimulation.LONGEST_REQUEST_MS)));
  }

  private void handle(SchedulerEvent event) {
    List<SchedulerAction> actions = scheduler.handle(event, instance.clockMs());
    actions.forEach(this::perform);
  }

  private void perform(SchedulerAction action) {
    switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> dispatch(request);
      case SchedulerAction.Load(AdapterVersion adapter, long commandId) -> load(adapter, commandId);
      case SchedulerAction.Unload(AdapterVersion adapter, long commandId) ->
          unload(adapter, commandId);
      default -> {}
    }
  }

  private void dispatch(ScheduledRequest request) {
    RequestId id = request.id();
    if (lost || !instance.mayDispatch(target)) {
      runAfterDelay(() -> handle(new SchedulerEvent.RequestFinished(id)));
      return;
    }
    runningRequests.add(id);
    sendToEngine(
        () -> {
          boolean started = engine.start(id, request.adapterVersion(), fencing);
          long durationMs =
              started ? simulation.random.nextLong(50, OwnershipSimulation.LONGEST_REQUEST_MS) : 0;
          simulation.schedule(
              durationMs,
              () -> {
                engine.end(id);
                runAfterDelay(
                    () -> {
                      runningRequests.remove(id);
                      handle(
                          started
                              ? new SchedulerEvent.RequestFinished(id)
                              : new SchedulerEvent.AdapterNotLoaded(id));
                    });
              });
        });
  }

  private void load(AdapterVersion adapter, long commandId) {
    if (lost || !instance.mayCommand(target)) {
      runAfterDelay(() -> handle(new SchedulerEvent.LoadFailed(adapter, commandId, FAILURE)));
      return;
    }
    simulation.checkCommand(instance, target, fencing, "load " + adapter);
    sendToEngine(
        () -> {
          boolean loaded = engine.load(adapter, fencing);
          runAfterDelay(
              () ->
                  handle(
                      loaded
                          ? new SchedulerEvent.LoadFinished(adapter, commandId)
                          : new SchedulerEvent.LoadFailed(adapter, commandId, FAILURE)));
        });
  }

  private void unload(AdapterVersion adapter, long commandId) {
    if (lost || !instance.mayCommand(target)) {
      runAfterDelay(() -> handle(new SchedulerEvent.UnloadFailed(adapter, commandId, FAILURE)));
      return;
    }
    simulation.checkCommand(instance, target, fencing, "unload " + adapter);
    sendToEngine(
        () -> {
          boolean unloaded = engine.unload(adapter, fencing, simulation.nowMs + " " + instance);
          runAfterDelay(
              () ->
                  handle(
                      unloaded
                          ? new SchedulerEvent.UnloadFinished(adapter, commandId)
                          : new SchedulerEvent.UnloadFailed(adapter, commandId, FAILURE)));
        });
  }

  private void sendToEngine(Runnable command) {
    simulation.schedule(
        simulation.random.nextLong(1, 300),
        () -> {
          if (!instance.stopped) {
            command.run();
          }
        });
  }

  private void runAfterDelay(Runnable task) {
    simulation.schedule(simulation.random.nextLong(1, 300), () -> instance.run(task));
  }

  void onQuarantineEnded() {
    handle(new SchedulerEvent.QuarantineEnded());
  }

  void onOwnershipLost() {
    lost = true;
    handle(new SchedulerEvent.OwnershipLost(FAILURE));
  }

  /** Ends the running requests, as the engine does when the connections of the process close. */
  void closeConnections() {
    runningRequests.forEach(engine::end);
  }

  boolean isIdle() {
    return scheduler.requestCount() == 0;
  }
}
