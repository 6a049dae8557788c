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
import org.apricotstand.placement.Policy;

class TargetSchedulerPropertyTest {

  private static final int STEPS = 400;
  private static final int ARRIVALS = 1_200;
  private static final long ARRIVAL_GAP_MS = 50;
  private static final long RUN_MS = 400;
  private static final long LOAD_MS = 100;

  /**
   * Guards against evictions in use, pinned or in quarantine, dispatches to slots of an earlier
   * incarnation, and requests that end twice or never. {@link SchedulerWorld} checks each action.
   */
  @Property(seed = "11", tries = 400)
  void keepsItsPromisesInAnyInterleaving(@ForAll long seed, @ForAll boolean baseline) {
    Policy policy = baseline ? new Policy.LeastLoadedLru() : new Policy.Affinity();
    SchedulerWorld world = new SchedulerWorld(seed, policy);
    for (int i = 0; i < STEPS; i++) {
      world.step();
    }
    world.drain();
    assertThat(world.dispatches()).isGreaterThan(0);
  }

  private record Due(long atMs, long number, SchedulerEvent event) {}

  /**
   * Guards against a group that waits for ever behind popular adapters: two adapters are asked for
   * all the time and overlapping requests keep both slots in use, and still each request for
   * another adapter runs in time.
   */
  @Property(seed = "12", tries = 60)
  void starvesNoGroup(@ForAll long seed, @ForAll boolean baseline) {
    Random random = new Random(seed);
    Policy policy = baseline ? new Policy.LeastLoadedLru() : new Policy.Affinity();
    TargetScheduler scheduler =
        new TargetScheduler(
            new TargetId("engine-1"), policy, new UnlimitedRights(), new SplittableRandom(seed));
    PriorityQueue<Due> due =
        new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::number));
    Map<RequestId, Long> waitingSinceMs = new HashMap<>();
    due.add(new Due(0, 0, new SchedulerEvent.EngineReported(1, Set.of(), 2, 16)));
    for (int i = 1; i <= ARRIVALS; i++) {
      String adapter = random.nextInt(40) == 0 ? "cold" + random.nextInt(5) : "hot" + i % 2;
      ScheduledRequest request = request(i, adapter);
      due.add(new Due(request.arrivedMs(), i, new SchedulerEvent.Submitted(request)));
    }
    long number = ARRIVALS;
    while (!due.isEmpty()) {
      Due next = due.remove();
      long nowMs = next.atMs();
      if (next.event() instanceof SchedulerEvent.Submitted(ScheduledRequest request)) {
        waitingSinceMs.put(request.id(), nowMs);
      }
      for (SchedulerAction action : scheduler.handle(next.event(), nowMs)) {
        number++;
        due.add(resultOf(action, waitingSinceMs, nowMs, number));
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

  private static Due resultOf(
      SchedulerAction action, Map<RequestId, Long> waiting, long nowMs, long number) {
    return switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> {
        waiting.remove(request.id());
        yield new Due(nowMs + RUN_MS, number, new SchedulerEvent.Finished(request.id()));
      }
      case SchedulerAction.Load(AdapterVersion name, long order) ->
          new Due(nowMs + LOAD_MS, number, new SchedulerEvent.LoadFinished(name, order));
      case SchedulerAction.Unload(AdapterVersion name, long order) ->
          new Due(nowMs + 2, number, new SchedulerEvent.UnloadFinished(name, order));
      default -> throw new AssertionError("no request may be refused: " + action);
    };
  }
}
