package org.apricotstand.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.Well19937c;
import org.apricotstand.budget.LoadLimiter;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.EngineSet;
import org.apricotstand.placement.Placement;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.schedule.SchedulerAction;
import org.apricotstand.schedule.SchedulerEvent;
import org.apricotstand.schedule.TargetScheduler;

/**
 * Prints the processor time of one placement and of one scheduler event, in microseconds, for
 * fleets of growing size.
 *
 * <pre>{@code
 * java -cp "cli/target/classes:cli/target/lib/*" org.apricotstand.bench.DecisionCost
 * }</pre>
 */
public final class DecisionCost {

  /** Pairs of the number of adapters and the number of engines. */
  private static final int[][] SIZES = {{1_000, 9}, {3_000, 9}, {3_000, 100}, {14_000, 920}};

  private static final int SLOTS = 8;
  private static final int MAX_BATCH = 32;
  private static final int DECISIONS = 100_000;
  private static final int REQUESTS_PER_LOAD = 20;
  private static final double ZIPF_EXPONENT = 1.0;
  private static final double NS_PER_US = 1_000;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private DecisionCost() {}

  /** Prints one line for each size, after one round to warm up the JIT compiler. */
  public static void main(String[] args) {
    System.out.println("adapters engines first_us placement_us scheduler_us");
    for (int round = 0; round < 2; round++) {
      for (int[] size : SIZES) {
        String line = measure(size[0], size[1]);
        if (round > 0) {
          System.out.println(line);
        }
      }
    }
  }

  private static String measure(int adapters, int engines) {
    List<AdapterVersion> names =
        IntStream.range(0, adapters)
            .mapToObj(i -> new AdapterVersion("adapter-" + i, "v1"))
            .toList();
    int[] requests =
        new ZipfDistribution(new Well19937c(1), adapters, ZIPF_EXPONENT).sample(DECISIONS);
    List<Target> targets =
        IntStream.range(0, engines)
            .mapToObj(
                i -> new Target("e-" + i, "engine", "m", "d", "", "enforced", SLOTS, MAX_BATCH))
            .toList();
    double firstUs = measurePlacementUs(names, IntStream.range(1, adapters + 1).toArray(), targets);
    double placementUs = measurePlacementUs(names, requests, targets);
    double schedulerUs = measureSchedulerUs(names, requests);
    return String.format(
        "%8d %7d %8.2f %12.2f %12.2f", adapters, engines, firstUs, placementUs, schedulerUs);
  }

  /**
   * Returns the time to choose an engine for a request and to update its load and resident adapters
   * from the reply.
   */
  private static double measurePlacementUs(
      List<AdapterVersion> names, int[] requests, List<Target> targets) {
    EngineSet engines = EngineSet.of(targets);
    Placement placement = new Placement(new PlacementPolicy.Affinity(), new SplittableRandom(1));
    long startNs = THREADS.getCurrentThreadCpuTime();
    for (int i = 0; i < requests.length; i++) {
      AdapterVersion name = names.get(requests[i] - 1);
      TargetId target = placement.choose(name, engines, id -> true, i).orElseThrow();
      placement.recordSent(target);
      placement.recordEngineState(target, i % MAX_BATCH, List.of(name), i);
      placement.recordEnd(target);
    }
    return (THREADS.getCurrentThreadCpuTime() - startNs) / NS_PER_US / requests.length;
  }

  /**
   * Returns the time of one event at the scheduler of one engine. Requests arrive faster than their
   * adapters can be loaded, so that the queue grows.
   */
  private static double measureSchedulerUs(List<AdapterVersion> names, int[] requests) {
    StubLoadLimiter loadLimiter = new StubLoadLimiter();
    TargetScheduler scheduler =
        new TargetScheduler(
            new TargetId("e-0"),
            new PlacementPolicy.Affinity(),
            loadLimiter,
            new SplittableRandom(1));
    Random random = new Random(1);
    scheduler.handle(
        new SchedulerEvent.EngineReported(
            1, new HashSet<>(names.subList(0, SLOTS)), SLOTS, MAX_BATCH),
        0);
    scheduler.handle(new SchedulerEvent.DeclarationsChanged(Set.of(), 0.5), 0);
    long events = 0;
    long startNs = THREADS.getCurrentThreadCpuTime();
    for (int i = 0; i < requests.length; i++) {
      ScheduledRequest request =
          new ScheduledRequest(
              new RequestId("r" + i),
              1,
              names.get(requests[i] - 1),
              RequestClass.values()[random.nextInt(3)],
              "caller-" + random.nextInt(50),
              i,
              i + 2_000);
      loadLimiter.remainingLoads += i % REQUESTS_PER_LOAD == 0 ? 1 : 0;
      events += handleWithResults(scheduler, new SchedulerEvent.RequestSubmitted(request), i);
      events += i % 50 == 0 ? handleWithResults(scheduler, new SchedulerEvent.Tick(), i) : 0;
    }
    return (THREADS.getCurrentThreadCpuTime() - startNs) / NS_PER_US / events;
  }

  /**
   * Handles an event and, recursively, the results of its actions.
   *
   * @return number of handled events
   */
  private static long handleWithResults(
      TargetScheduler scheduler, SchedulerEvent event, long nowMs) {
    long events = 1;
    for (SchedulerAction action : scheduler.handle(event, nowMs)) {
      SchedulerEvent result =
          switch (action) {
            case SchedulerAction.Dispatch(ScheduledRequest request) ->
                new SchedulerEvent.RequestFinished(request.id());
            case SchedulerAction.Load(AdapterVersion name, long commandId) ->
                new SchedulerEvent.LoadFinished(name, commandId);
            case SchedulerAction.Unload(AdapterVersion name, long commandId) ->
                new SchedulerEvent.UnloadFinished(name, commandId);
            default -> null;
          };
      events += result == null ? 0 : handleWithResults(scheduler, result, nowMs);
    }
    return events;
  }

  /** Limiter that allows as many loads as the measurement grants, so that their queue grows. */
  private static final class StubLoadLimiter implements LoadLimiter {
    private int remainingLoads;

    @Override
    public boolean mayStartLoad(long nowMs) {
      return remainingLoads > 0;
    }

    @Override
    public boolean tryStartLoad(long nowMs) {
      remainingLoads--;
      return true;
    }

    @Override
    public void recordLoadEnd(long nowMs) {}
  }
}
