package org.apricotstand.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apricotstand.budget.LoadRights;
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

/** Runs the scheduler of one owned engine, as the owner side of an instance does. */
final class SimulatedOwner {

  private static final Failure FAILURE = new Failure(Step.LOAD, "engine", "refused", "refused");
  private static final int ADAPTERS = 4;
  private static final int MAX_BATCH = 8;

  private static final LoadRights UNLIMITED =
      new LoadRights() {
        @Override
        public boolean mayStartLoad(long nowMs) {
          return true;
        }

        @Override
        public boolean tryStartLoad(long nowMs) {
          return true;
        }

        @Override
        public void loadEnded(long nowMs) {}
      };

  private final SimulatedInstance instance;
  private final OwnershipWorld world;
  private final TargetId target;
  private final long fencing;
  private final FakeEngine engine;
  private final TargetScheduler scheduler;
  private final Set<RequestId> running = new HashSet<>();
  private boolean commandsAllowed = true;
  private boolean lost;
  private long nextReportMs;

  SimulatedOwner(SimulatedInstance instance, OwnershipAction.Gained gained) {
    this.instance = instance;
    this.world = instance.world;
    this.target = gained.target();
    this.fencing = gained.fencing();
    this.engine = world.engines.get(target);
    this.scheduler =
        new TargetScheduler(
            target, PlacementPolicy.parse("affinity"), UNLIMITED, instance.random.split());
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
      if (world.nowMs >= nextReportMs) {
        nextReportMs = world.nowMs + 1_000;
        reportLater();
      }
      if (instance.random.nextInt(3) == 0) {
        submit();
      }
    }
    handle(new SchedulerEvent.Tick());
  }

  private void reportLater() {
    Set<AdapterVersion> resident = engine.resident();
    int busy = engine.running();
    later(
        () -> {
          instance.handle(new OwnershipEvent.EngineReported(target, busy));
          if (!lost) {
            handle(new SchedulerEvent.EngineReported(1, resident, engine.slots, MAX_BATCH));
          }
        });
  }

  private void submit() {
    AdapterVersion name = new AdapterVersion("adapter-" + instance.random.nextInt(ADAPTERS), "v1");
    RequestId id = new RequestId(instance + "-" + target + "-" + world.random.nextLong());
    long nowMs = instance.clockMs();
    handle(
        new SchedulerEvent.RequestSubmitted(
            new ScheduledRequest(
                id,
                1,
                name,
                RequestClass.STANDARD,
                "test",
                nowMs,
                nowMs + OwnershipWorld.LONGEST_REQUEST_MS)));
  }

  private void handle(SchedulerEvent event) {
    List<SchedulerAction> actions = scheduler.handle(event, instance.clockMs());
    actions.forEach(this::perform);
  }

  private void perform(SchedulerAction action) {
    switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> dispatch(request);
      case SchedulerAction.Load(AdapterVersion name, long order) -> load(name, order);
      case SchedulerAction.Unload(AdapterVersion name, long order) -> unload(name, order);
      default -> {}
    }
  }

  private void dispatch(ScheduledRequest request) {
    RequestId id = request.id();
    if (lost || !instance.mayDispatch(target)) {
      later(() -> handle(new SchedulerEvent.RequestFinished(id)));
      return;
    }
    running.add(id);
    toEngine(
        () -> {
          boolean started = engine.start(id, request.adapterVersion(), fencing);
          long forMs = started ? world.random.nextLong(50, OwnershipWorld.LONGEST_REQUEST_MS) : 0;
          world.after(
              forMs,
              () -> {
                engine.end(id);
                later(
                    () -> {
                      running.remove(id);
                      handle(
                          started
                              ? new SchedulerEvent.RequestFinished(id)
                              : new SchedulerEvent.AdapterNotLoaded(id));
                    });
              });
        });
  }

  private void load(AdapterVersion name, long order) {
    if (lost || !instance.mayCommand(target)) {
      later(() -> handle(new SchedulerEvent.LoadFailed(name, order, FAILURE)));
      return;
    }
    world.ordered(instance, target, fencing, "load " + name);
    toEngine(
        () -> {
          boolean loaded = engine.load(name, fencing);
          later(
              () ->
                  handle(
                      loaded
                          ? new SchedulerEvent.LoadFinished(name, order)
                          : new SchedulerEvent.LoadFailed(name, order, FAILURE)));
        });
  }

  private void unload(AdapterVersion name, long order) {
    if (lost || !instance.mayCommand(target)) {
      later(() -> handle(new SchedulerEvent.UnloadFailed(name, order, FAILURE)));
      return;
    }
    world.ordered(instance, target, fencing, "unload " + name);
    toEngine(
        () -> {
          boolean done = engine.unload(name, fencing, world.nowMs + " " + instance);
          later(
              () ->
                  handle(
                      done
                          ? new SchedulerEvent.UnloadFinished(name, order)
                          : new SchedulerEvent.UnloadFailed(name, order, FAILURE)));
        });
  }

  private void toEngine(Runnable effect) {
    world.after(
        world.random.nextLong(1, 300),
        () -> {
          if (!instance.stopped) {
            effect.run();
          }
        });
  }

  private void later(Runnable task) {
    world.after(world.random.nextLong(1, 300), () -> instance.run(task));
  }

  void quarantineEnded() {
    handle(new SchedulerEvent.QuarantineEnded());
  }

  void lost() {
    lost = true;
    handle(new SchedulerEvent.OwnershipLost(FAILURE));
  }

  /** The process ended: the engine sees its connections close. */
  void abort() {
    running.forEach(engine::end);
  }

  boolean isIdle() {
    return scheduler.requestCount() == 0;
  }
}
