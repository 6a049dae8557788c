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
import org.apricotstand.placement.PlacementPolicy;

/**
 * Simulates a faulty engine for one scheduler: results arrive late and out of order, commands fail
 * with and without effect, reports lag, and the engine restarts without adapters. Each action is
 * checked against the adapters that the engine holds and the requests that it runs.
 */
final class SchedulerSimulation {

  private static final Failure FAILURE = new Failure(Step.LOAD, "engine-1", "failed", "test");
  private static final int ADAPTERS = 8;
  private static final int SLOTS = 3;
  private static final int MAX_BATCH = 4;
  private static final Set<String> PINNED = Set.of("a0");

  private final Random random;
  private final UnlimitedLoadLimiter loadLimiter = new UnlimitedLoadLimiter();
  private final TargetScheduler scheduler;
  private final List<SchedulerEvent> pendingResults = new ArrayList<>();
  private final Set<AdapterVersion> loaded = new HashSet<>();
  private final Map<RequestId, ScheduledRequest> waiting = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> dispatched = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> running = new HashMap<>();
  private final Map<RequestId, ScheduledRequest> runningBeforeRestart = new HashMap<>();
  private final Set<AdapterVersion> knownResident = new HashSet<>();
  private final Set<AdapterVersion> quarantinedAdapters = new HashSet<>();
  private final Map<Long, Long> commandIncarnations = new HashMap<>();
  private SchedulerEvent.EngineReported snapshot;
  private long reportedIncarnation;
  private long incarnation = 1;
  private boolean quarantineActive;
  private long nowMs;
  private long snapshotMs;
  private int submittedCount;
  private int endedCount;
  private int dispatchCount;

  SchedulerSimulation(long seed, PlacementPolicy policy) {
    random = new Random(seed);
    scheduler =
        new TargetScheduler(
            new TargetId("engine-1"), policy, loadLimiter, new SplittableRandom(seed));
    loaded.add(adapter(0));
    loaded.add(adapter(1));
    quarantineActive = random.nextBoolean();
    if (quarantineActive) {
      handle(new SchedulerEvent.QuarantineStarted());
    }
    handle(new SchedulerEvent.DeclarationsChanged(PINNED, random.nextInt(3) / 2.0));
    report();
  }

  int dispatchCount() {
    return dispatchCount;
  }

  /** Advances the clock and triggers one random event. */
  void step() {
    nowMs += random.nextInt(200);
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> submit();
      case 3, 4 -> deliverResult();
      case 5, 6 -> finish();
      case 7 -> report();
      case 8 -> cancel();
      case 9 -> injectFault();
      default -> handle(new SchedulerEvent.Tick());
    }
  }

  /** Runs until all deadlines have passed, then checks that each request ended once. */
  void drain() {
    nowMs += 60_000;
    handle(new SchedulerEvent.Tick());
    while (!pendingResults.isEmpty() || !running.isEmpty() || !runningBeforeRestart.isEmpty()) {
      deliverResult();
      finish();
    }
    handle(new SchedulerEvent.Tick());
    while (!pendingResults.isEmpty()) {
      deliverResult();
    }
    assertWithMessage("requests left in the queue").that(waiting).isEmpty();
    assertWithMessage("requests left in the batch").that(dispatched).isEmpty();
    assertWithMessage("requests that ended").that(endedCount).isEqualTo(submittedCount);
    assertWithMessage("requests in the scheduler").that(scheduler.requestCount()).isEqualTo(0);
    assertWithMessage("loads in flight").that(loadLimiter.inFlight()).isEqualTo(0);
  }

  private void submit() {
    submittedCount++;
    ScheduledRequest request =
        new ScheduledRequest(
            new RequestId("r" + submittedCount),
            1,
            adapter(random.nextInt(ADAPTERS)),
            RequestClass.values()[random.nextInt(3)],
            "caller" + random.nextInt(3),
            nowMs,
            nowMs + 500 + random.nextInt(20_000),
            random.nextInt(10) == 0);
    waiting.put(request.id(), request);
    handle(new SchedulerEvent.RequestSubmitted(request));
  }

  private void deliverResult() {
    if (!pendingResults.isEmpty()) {
      SchedulerEvent result = pendingResults.remove(random.nextInt(pendingResults.size()));
      updateExpectedState(result);
      handle(result);
    }
  }

  /**
   * Updates the expected state before the scheduler handles a result. Results of commands to an
   * earlier incarnation have no effect.
   */
  private void updateExpectedState(SchedulerEvent result) {
    switch (result) {
      case SchedulerEvent.LoadFinished(AdapterVersion adapterVersion, long commandId) -> {
        if (commandIncarnations.get(commandId) == reportedIncarnation) {
          knownResident.add(adapterVersion);
        }
      }
      case SchedulerEvent.UnloadFailed(
              AdapterVersion adapterVersion,
              long commandId,
              Failure failure) -> {
        if (commandIncarnations.get(commandId) == reportedIncarnation) {
          knownResident.add(adapterVersion);
        }
      }
      case SchedulerEvent.AdapterNotLoaded(RequestId id) -> {
        ScheduledRequest refused = dispatched.remove(id);
        if (refused != null) {
          waiting.put(id, refused);
        }
      }
      case SchedulerEvent.RequestFinished(RequestId id) -> countEnded(dispatched.remove(id));
      default -> {}
    }
  }

  private void finish() {
    if (!running.isEmpty()) {
      RequestId id = running.keySet().stream().sorted().findFirst().orElseThrow();
      running.remove(id);
      pendingResults.add(new SchedulerEvent.RequestFinished(id));
    }
    if (!runningBeforeRestart.isEmpty()) {
      RequestId id = runningBeforeRestart.keySet().stream().sorted().findFirst().orElseThrow();
      runningBeforeRestart.remove(id);
      pendingResults.add(new SchedulerEvent.RequestFinished(id));
    }
  }

  /** Sends a report that may be some seconds old, but not older than the previous one. */
  private void report() {
    if (snapshot == null || random.nextBoolean() || nowMs - snapshotMs > 4_000) {
      snapshot =
          new SchedulerEvent.EngineReported(incarnation, Set.copyOf(loaded), SLOTS, MAX_BATCH);
      snapshotMs = nowMs;
    }
    if (snapshot.incarnation() != reportedIncarnation) {
      reportedIncarnation = snapshot.incarnation();
      knownResident.clear();
      quarantinedAdapters.clear();
      if (quarantineActive) {
        quarantinedAdapters.addAll(snapshot.resident());
      }
    }
    knownResident.addAll(snapshot.resident());
    handle(snapshot);
  }

  private void cancel() {
    waiting.keySet().stream()
        .sorted()
        .findFirst()
        .ifPresent(
            id -> {
              countEnded(waiting.remove(id));
              handle(new SchedulerEvent.RequestCanceled(id));
            });
  }

  private void injectFault() {
    switch (random.nextInt(6)) {
      case 0 -> {
        incarnation++;
        loaded.clear();
        runningBeforeRestart.putAll(running);
        running.clear();
      }
      case 1 -> {
        quarantineActive = false;
        quarantinedAdapters.clear();
        handle(new SchedulerEvent.QuarantineEnded());
      }
      case 2 ->
          loaded.removeIf(adapterVersion -> !isRunning(adapterVersion) && random.nextInt(4) == 0);
      case 3 -> handle(new SchedulerEvent.EngineLost(FAILURE));
      case 4 -> handle(new SchedulerEvent.CommandsAllowed(random.nextInt(4) > 0));
      default -> handle(new SchedulerEvent.CommandsAllowed(true));
    }
  }

  private void handle(SchedulerEvent event) {
    for (SchedulerAction action : scheduler.handle(event, nowMs)) {
      switch (action) {
        case SchedulerAction.Dispatch(ScheduledRequest request) -> dispatch(request);
        case SchedulerAction.Load(AdapterVersion adapterVersion, long commandId) ->
            load(adapterVersion, commandId);
        case SchedulerAction.Unload(AdapterVersion adapterVersion, long commandId) ->
            unload(adapterVersion, commandId);
        case SchedulerAction.Refuse(ScheduledRequest request, Failure failure) ->
            countEnded(waiting.remove(request.id()));
        case SchedulerAction.Abandon(ScheduledRequest request, Failure failure) ->
            countEnded(dispatched.remove(request.id()));
        case SchedulerAction.Cancel(RequestId id) -> {}
      }
    }
  }

  private void dispatch(ScheduledRequest request) {
    dispatchCount++;
    assertWithMessage("waits before its dispatch: %s", request)
        .that(waiting.remove(request.id()))
        .isNotNull();
    assertWithMessage("resident in the known incarnation: %s", request)
        .that(knownResident)
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
      pendingResults.add(new SchedulerEvent.AdapterNotLoaded(request.id()));
    }
  }

  private void load(AdapterVersion adapterVersion, long commandId) {
    commandIncarnations.put(commandId, reportedIncarnation);
    boolean takesEffect = loaded.size() < SLOTS && random.nextInt(4) > 0;
    if (takesEffect) {
      loaded.add(adapterVersion);
    }
    boolean confirmed = takesEffect && random.nextInt(8) > 0;
    pendingResults.add(
        confirmed
            ? new SchedulerEvent.LoadFinished(adapterVersion, commandId)
            : new SchedulerEvent.LoadFailed(adapterVersion, commandId, FAILURE));
  }

  private void unload(AdapterVersion adapterVersion, long commandId) {
    commandIncarnations.put(commandId, reportedIncarnation);
    assertWithMessage("evicts an adapter in use: %s", adapterVersion)
        .that(isRunning(adapterVersion))
        .isFalse();
    assertWithMessage("evicts a pinned adapter")
        .that(PINNED)
        .doesNotContain(adapterVersion.adapter());
    assertWithMessage("evicts in quarantine")
        .that(quarantinedAdapters)
        .doesNotContain(adapterVersion);
    knownResident.remove(adapterVersion);
    boolean takesEffect = random.nextInt(6) > 0;
    if (takesEffect) {
      loaded.remove(adapterVersion);
    }
    boolean confirmed = takesEffect && random.nextInt(6) > 0;
    pendingResults.add(
        confirmed
            ? new SchedulerEvent.UnloadFinished(adapterVersion, commandId)
            : new SchedulerEvent.UnloadFailed(adapterVersion, commandId, FAILURE));
  }

  private void countEnded(ScheduledRequest request) {
    if (request != null) {
      endedCount++;
    }
  }

  private boolean isRunning(AdapterVersion adapterVersion) {
    return running.values().stream()
        .anyMatch(request -> request.adapterVersion().equals(adapterVersion));
  }

  private static AdapterVersion adapter(int index) {
    return new AdapterVersion("a" + index, "v1");
  }
}
