package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

  /**
   * Guards against a group that waits for ever behind popular adapters: three adapters are asked
   * for all the time and keep both slots busy, and each request for another one runs in time.
   */
  @Property(seed = "12", tries = 60)
  void starvesNoGroup(@ForAll long seed, @ForAll boolean baseline) {
    Random random = new Random(seed);
    Policy policy = baseline ? new Policy.LeastLoadedLru() : new Policy.Affinity();
    TargetScheduler scheduler =
        new TargetScheduler(
            new TargetId("engine-1"), policy, new UnlimitedRights(), new SplittableRandom(seed));
    List<SchedulerEvent> due = new ArrayList<>();
    Map<RequestId, Long> waitingSinceMs = new HashMap<>();
    due.add(new SchedulerEvent.EngineReported(1, Set.of(), 2, 4));
    for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
      String adapter =
          random.nextInt(20) == 0 ? "cold" + random.nextInt(5) : "hot" + nowMs / 50 % 3;
      ScheduledRequest request =
          new ScheduledRequest(
              new RequestId("r" + nowMs),
              1,
              new AdapterVersion(adapter, "v1"),
              RequestClass.values()[adapter.startsWith("cold") ? 2 : random.nextInt(2)],
              "caller",
              nowMs,
              nowMs + 600_000);
      waitingSinceMs.put(request.id(), nowMs);
      due.add(new SchedulerEvent.Submitted(request));
      List<SchedulerEvent> results = new ArrayList<>();
      for (SchedulerEvent event : due) {
        for (SchedulerAction action : scheduler.handle(event, nowMs)) {
          results.add(resultOf(action, waitingSinceMs));
        }
      }
      due = results;
      long oldestMs =
          waitingSinceMs.values().stream().mapToLong(Long::longValue).min().orElse(nowMs);
      assertThat(nowMs - oldestMs).isLessThan(15_000);
    }
  }

  private static SchedulerEvent resultOf(SchedulerAction action, Map<RequestId, Long> waiting) {
    return switch (action) {
      case SchedulerAction.Dispatch(ScheduledRequest request) -> {
        waiting.remove(request.id());
        yield new SchedulerEvent.Finished(request.id());
      }
      case SchedulerAction.Load(AdapterVersion name, long order) ->
          new SchedulerEvent.LoadFinished(name, order);
      case SchedulerAction.Unload(AdapterVersion name, long order) ->
          new SchedulerEvent.UnloadFinished(name, order);
      default -> throw new AssertionError("no request may be refused: " + action);
    };
  }
}
