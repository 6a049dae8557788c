package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.PlacementPolicy;

class TargetSchedulerPropertyTest {

  private static final int STEPS = 400;
  private static final int ARRIVALS = 1_200;
  private static final long ARRIVAL_GAP_MS = 50;
  private static final long RUN_MS = 400;
  private static final long LOAD_MS = 100;

  /**
   * Guards against eviction of adapters that are in use, pinned or in quarantine, dispatches to
   * slots of an earlier incarnation, and requests that end twice or never. {@link
   * SchedulerSimulation} checks each action.
   */
  @Property(seed = "11", tries = 400)
  void keepsInvariantsInAnyInterleaving(@ForAll long seed, @ForAll boolean baseline) {
    PlacementPolicy policy =
        baseline ? new PlacementPolicy.LeastLoadedLru() : new PlacementPolicy.Affinity();
    SchedulerSimulation simulation = new SchedulerSimulation(seed, policy);
    for (int i = 0; i < STEPS; i++) {
      simulation.step();
    }
    simulation.drain();
    assertThat(simulation.dispatchCount()).isGreaterThan(0);
  }

  private record ScheduledEvent(long atMs, long number, SchedulerEvent event) {}

  /**
   * Guards against starvation behind popular adapters: overlapping requests for two adapters keep
   * both slots in use all the time, and requests for other adapters must still be dispatched in
   * time.
   */
  @Property(seed = "12", tries = 60)
  void starvesNoGroup(@ForAll long seed, @ForAll boolean baseline) {
    Random random = new Random(seed);
    PlacementPolicy policy =
        baseline ? new PlacementPolicy.LeastLoadedLru() : new PlacementPolicy.Affinity();
    TargetScheduler scheduler =
        new TargetScheduler(
            new TargetId("engine-1"),
            policy,
            new UnlimitedLoadLimiter(),
            new SplittableRandom(seed));
    PriorityQueue<ScheduledEvent> events =
        new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::atMs)
                .thenComparingLong(ScheduledEvent::number));
    Map<RequestId, Long> waitingSinceMs = new HashMap<>();
    events.add(new ScheduledEvent(0, 0, new SchedulerEvent.EngineReported(1, Set.of(), 2, 16)));
    for (int i = 1; i <= ARRIVALS; i++) {
      String adapter = random.nextInt(40) == 0 ? "cold" + random.nextInt(5) : "hot" + i % 2;
      ScheduledRequest request = request(i, adapter);
      events.add(
          new ScheduledEvent(request.arrivedMs(), i, new SchedulerEvent.RequestSubmitted(request)));
    }
    long number = ARRIVALS;
    while (!events.isEmpty()) {
      ScheduledEvent next = events.remove();
      long nowMs = next.atMs();
      if (next.event() instanceof SchedulerEvent.RequestSubmitted(ScheduledRequest request)) {
        waitingSinceMs.put(request.id(), nowMs);
      }
      for (SchedulerAction action : scheduler.handle(next.event(), nowMs)) {
        number++;
        events.add(resultOf(action, waitingSinceMs, nowMs, number));
      }
      long oldestMs =
          waitingSinceMs.values().stream().mapToLong(Long::longValue).min().orElse(nowMs);
      assertThat(nowMs - oldestMs).isLessThan(15_000);
    }
  }

  private static ScheduledRequest request(int number, String adapter) {
    long arrivedMs = number * ARRIVAL_GAP_MS;
    return new ScheduledRequest(
        new RequestId("r" + number),
        1,
        new AdapterVersion(adapter, "v1"),
        RequestClass.STANDARD,
        "caller",
        arrivedMs,
        arrivedMs + 600_000);
  }

  private static ScheduledEvent resultOf(
      SchedulerAction action, Map<RequestId, Long> waiting, long nowMs, long number) {
    return switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> {
        waiting.remove(request.id());
        yield new ScheduledEvent(
            nowMs + RUN_MS, number, new SchedulerEvent.RequestFinished(request.id()));
      }
      case SchedulerAction.Load(AdapterVersion adapterVersion, long commandId) ->
          new ScheduledEvent(
              nowMs + LOAD_MS, number, new SchedulerEvent.LoadFinished(adapterVersion, commandId));
      case SchedulerAction.Unload(AdapterVersion adapterVersion, long commandId) ->
          new ScheduledEvent(
              nowMs + 2, number, new SchedulerEvent.UnloadFinished(adapterVersion, commandId));
      default -> throw new AssertionError("no request may be refused: " + action);
    };
  }
}
