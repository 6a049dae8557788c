package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.Policy;

/**
 * A faulty engine around one scheduler: results arrive late and out of order, orders fail with and
 * without effect, reports lag, and the engine restarts cold. It checks each action against what the
 * engine really holds and runs.
 */
final class SchedulerWorld {

  private static final Failure FAILURE = new Failure(Step.LOAD, "engine-1", "failed", "test");
  private static final int ADAPTERS = 8;
  private static final int SLOTS = 3;
  private static final int MAX_BATCH = 4;
  private static final Set<String> PINNED = Set.of("a0");

  private final Random random;
  private final UnlimitedRights rights = new UnlimitedRights();
  private final TargetScheduler scheduler;
  private final List<SchedulerEvent> results = new ArrayList<>();
  private final Set<AdapterVersion> loaded = new HashSet<>();
  private final Map<RequestId, ScheduledRequest> waiting = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> dispatched = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> running = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> lost = new HashMap<>();
  private final Set<AdapterVersion> known = new HashSet<>();
  private final Set<AdapterVersion> inherited = new HashSet<>();
  private final Map<Long, Long> orderIncarnations = new HashMap<>();
  private SchedulerEvent.EngineReported snapshot;
  private long reportedIncarnation;
  private long incarnation = 1;
  private boolean quarantine;
  private long nowMs;
  private long snapshotMs;
  private int submitted;
  private int ended;
  private int dispatches;

  SchedulerWorld(long seed, Policy policy) {
    random = new Random(seed);
    scheduler =
        new TargetScheduler(new TargetId("engine-1"), policy, rights, new SplittableRandom(seed));
    loaded.add(adapter(0));
    loaded.add(adapter(1));
    quarantine = random.nextBoolean();
    if (quarantine) {
      handle(new SchedulerEvent.Inherited());
    }
    handle(new SchedulerEvent.Declared(PINNED, random.nextInt(3) / 2.0));
    report();
  }

  int dispatches() {
    return dispatches;
  }

  /** Lets something random happen. */
  void step() {
    nowMs += random.nextInt(200);
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> submit();
      case 3, 4 -> deliver();
      case 5, 6 -> finish();
      case 7 -> report();
      case 8 -> cancel();
      case 9 -> disturb();
      default -> handle(new SchedulerEvent.Tick());
    }
  }

  /** Runs until every deadline has passed and checks that each request ended once. */
  void drain() {
    nowMs += 60_000;
    handle(new SchedulerEvent.Tick());
    while (!results.isEmpty() || !running.isEmpty() || !lost.isEmpty()) {
      deliver();
      finish();
    }
    handle(new SchedulerEvent.Tick());
    while (!results.isEmpty()) {
      deliver();
    }
    assertWithMessage("requests left in the queue").that(waiting).isEmpty();
    assertWithMessage("requests left in the batch").that(dispatched).isEmpty();
    assertWithMessage("requests that ended").that(ended).isEqualTo(submitted);
    assertWithMessage("load in the scheduler").that(scheduler.load()).isEqualTo(0);
    assertWithMessage("rights in use").that(rights.inFlight()).isEqualTo(0);
  }

  private void submit() {
    submitted++;
    ScheduledRequest request =
        new ScheduledRequest(
            new RequestId("r" + submitted),
            1,
            adapter(random.nextInt(ADAPTERS)),
            RequestClass.values()[random.nextInt(3)],
            "caller" + random.nextInt(3),
            nowMs,
            nowMs + 500 + random.nextInt(20_000),
            random.nextInt(10) == 0);
    waiting.put(request.id(), request);
    handle(new SchedulerEvent.Submitted(request));
  }

  private void deliver() {
    if (!results.isEmpty()) {
      SchedulerEvent result = results.remove(random.nextInt(results.size()));
      note(result);
      handle(result);
    }
  }

  /** Keeps what the scheduler may believe about the incarnation that it knows. */
  private void note(SchedulerEvent result) {
    switch (result) {
      case SchedulerEvent.LoadFinished(AdapterVersion name, long order) -> {
        if (orderIncarnations.get(order) == reportedIncarnation) {
          known.add(name);
        }
      }
      case SchedulerEvent.UnloadFailed(AdapterVersion name, long order, Failure failure) -> {
        if (orderIncarnations.get(order) == reportedIncarnation) {
          known.add(name);
        }
      }
      case SchedulerEvent.NotLoaded(RequestId id) -> {
        ScheduledRequest refused = dispatched.remove(id);
        if (refused != null) {
          waiting.put(id, refused);
        }
      }
      case SchedulerEvent.Finished(RequestId id) -> end(dispatched.remove(id));
      default -> {}
    }
  }

  private void finish() {
    if (!running.isEmpty()) {
      RequestId id = running.keySet().stream().sorted().findFirst().orElseThrow();
      running.remove(id);
      results.add(new SchedulerEvent.Finished(id));
    }
    if (!lost.isEmpty()) {
      RequestId id = lost.keySet().stream().sorted().findFirst().orElseThrow();
      lost.remove(id);
      results.add(new SchedulerEvent.Finished(id));
    }
  }

  /** Sends a report that may be some seconds old, but never older than an earlier one. */
  private void report() {
    if (snapshot == null || random.nextBoolean() || nowMs - snapshotMs > 4_000) {
      snapshot =
          new SchedulerEvent.EngineReported(incarnation, Set.copyOf(loaded), SLOTS, MAX_BATCH);
      snapshotMs = nowMs;
    }
    if (snapshot.incarnation() != reportedIncarnation) {
      reportedIncarnation = snapshot.incarnation();
      known.clear();
      inherited.clear();
      if (quarantine) {
        inherited.addAll(snapshot.resident());
      }
    }
    known.addAll(snapshot.resident());
    handle(snapshot);
  }

  private void cancel() {
    waiting.keySet().stream()
        .sorted()
        .findFirst()
        .ifPresent(
            id -> {
              end(waiting.remove(id));
              handle(new SchedulerEvent.Canceled(id));
            });
  }

  private void disturb() {
    switch (random.nextInt(6)) {
      case 0 -> {
        incarnation++;
        loaded.clear();
        lost.putAll(running);
        running.clear();
      }
      case 1 -> {
        quarantine = false;
        inherited.clear();
        handle(new SchedulerEvent.QuarantineEnded());
      }
      case 2 -> loaded.removeIf(name -> !isRunning(name) && random.nextInt(4) == 0);
      case 3 -> handle(new SchedulerEvent.EngineLost(FAILURE));
      case 4 -> handle(new SchedulerEvent.CommandsAllowed(random.nextInt(4) > 0));
      default -> handle(new SchedulerEvent.CommandsAllowed(true));
    }
  }

  private void handle(SchedulerEvent event) {
    for (SchedulerAction action : scheduler.handle(event, nowMs)) {
      switch (action) {
        case SchedulerAction.Dispatch(ScheduledRequest request) -> dispatch(request);
        case SchedulerAction.Load(AdapterVersion name, long order) -> load(name, order);
        case SchedulerAction.Unload(AdapterVersion name, long order) -> unload(name, order);
        case SchedulerAction.Refuse(ScheduledRequest request, Failure failure) ->
            end(waiting.remove(request.id()));
        case SchedulerAction.Abandon(ScheduledRequest request, Failure failure) ->
            end(dispatched.remove(request.id()));
        case SchedulerAction.Cancel(RequestId id) -> {}
      }
    }
  }

  private void dispatch(ScheduledRequest request) {
    dispatches++;
    assertWithMessage("waits before its dispatch: %s", request)
        .that(waiting.remove(request.id()))
        .isNotNull();
    assertWithMessage("resident in the known incarnation: %s", request)
        .that(known)
        .contains(request.adapterVersion());
    if (request.alone()) {
      assertWithMessage("runs alone: %s", request).that(dispatched).isEmpty();
    }
    assertWithMessage("nothing joins a request that runs alone")
        .that(dispatched.values().stream().anyMatch(ScheduledRequest::alone))
        .isFalse();
    dispatched.put(request.id(), request);
    assertWithMessage("batch size").that(dispatched.size()).isAtMost(MAX_BATCH);
    if (loaded.contains(request.adapterVersion())) {
      running.put(request.id(), request);
    } else {
      results.add(new SchedulerEvent.NotLoaded(request.id()));
    }
  }

  private void load(AdapterVersion name, long order) {
    orderIncarnations.put(order, reportedIncarnation);
    boolean takesEffect = loaded.size() < SLOTS && random.nextInt(4) > 0;
    if (takesEffect) {
      loaded.add(name);
    }
    boolean confirmed = takesEffect && random.nextInt(8) > 0;
    results.add(
        confirmed
            ? new SchedulerEvent.LoadFinished(name, order)
            : new SchedulerEvent.LoadFailed(name, order, FAILURE));
  }

  private void unload(AdapterVersion name, long order) {
    orderIncarnations.put(order, reportedIncarnation);
    assertWithMessage("evicts an adapter in use: %s", name).that(isRunning(name)).isFalse();
    assertWithMessage("evicts a pinned adapter").that(PINNED).doesNotContain(name.adapter());
    assertWithMessage("evicts in quarantine").that(inherited).doesNotContain(name);
    known.remove(name);
    boolean takesEffect = random.nextInt(6) > 0;
    if (takesEffect) {
      loaded.remove(name);
    }
    boolean confirmed = takesEffect && random.nextInt(6) > 0;
    results.add(
        confirmed
            ? new SchedulerEvent.UnloadFinished(name, order)
            : new SchedulerEvent.UnloadFailed(name, order, FAILURE));
  }

  private void end(ScheduledRequest request) {
    if (request != null) {
      ended++;
    }
  }

  private boolean isRunning(AdapterVersion name) {
    return running.values().stream().anyMatch(request -> request.adapterVersion().equals(name));
  }

  private static AdapterVersion adapter(int index) {
    return new AdapterVersion("a" + index, "v1");
  }
}
