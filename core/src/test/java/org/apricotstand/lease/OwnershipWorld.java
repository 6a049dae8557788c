package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/**
 * Instances, engines and a store on a simulated clock, with faults drawn from a seed. Every
 * violation of a rule is noted with its time.
 */
final class OwnershipWorld {

  static final long LONGEST_REQUEST_MS = 5_000;
  static final long TICK_MS = 200;
  private static final long FAULTS_MS = 120_000;
  private static final long SETTLE_MS = 90_000;

  private record Task(long dueMs, long sequence, Runnable run) {}

  final SplittableRandom random;
  final FakeStore store = new FakeStore();
  final Map<TargetId, FakeEngine> engines = new LinkedHashMap<>();
  final Map<InstanceId, SimulatedInstance> instances = new LinkedHashMap<>();
  final List<String> violations = new ArrayList<>();
  final List<String> trace = new ArrayList<>();
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.dueMs() == b.dueMs()
                  ? Long.compare(a.sequence(), b.sequence())
                  : Long.compare(a.dueMs(), b.dueMs()));
  private final Set<String> cutLinks = new HashSet<>();
  private boolean lossy;
  private long sequence;
  private long incarnations;
  long nowMs;
  int commands;
  int takeovers;

  OwnershipWorld(long seed, int instanceCount, int targetCount) {
    random = new SplittableRandom(seed);
    for (int i = 1; i <= targetCount; i++) {
      engines.put(new TargetId("engine-" + i), new FakeEngine(2, random.nextBoolean()));
    }
    for (int i = 1; i <= instanceCount; i++) {
      start(new InstanceId("entry-" + i));
    }
  }

  void start(InstanceId name) {
    if (instances.containsKey(name) && !instances.get(name).stopped) {
      return;
    }
    SimulatedInstance instance = new SimulatedInstance(this, name, ++incarnations);
    instances.put(name, instance);
    trace("start " + name + " as " + incarnations);
    instance.start();
  }

  List<InstanceId> names() {
    return List.copyOf(instances.keySet());
  }

  void after(long delayMs, Runnable run) {
    tasks.add(new Task(nowMs + delayMs, ++sequence, run));
  }

  void trace(String line) {
    trace.add(nowMs + " " + line);
  }

  void violation(String line) {
    trace("VIOLATION " + line);
    violations.add(nowMs + " " + line);
  }

  private void runUntil(long endMs) {
    while (!tasks.isEmpty() && tasks.peek().dueMs() <= endMs) {
      Task task = tasks.poll();
      nowMs = task.dueMs();
      task.run().run();
    }
    nowMs = endMs;
  }

  /** Runs with faults, then without, and checks that every target has an owner in the end. */
  void run() {
    runUntil(20_000);
    lossy = true;
    long end = nowMs + FAULTS_MS;
    while (nowMs < end) {
      inject();
      runUntil(nowMs + random.nextLong(500, 12_000));
    }
    lossy = false;
    cutLinks.clear();
    instances.values().forEach(SimulatedInstance::heal);
    names().forEach(this::start);
    runUntil(nowMs + SETTLE_MS);
    engines.keySet().forEach(this::checkOwned);
    engines.values().forEach(engine -> violations.addAll(engine.violations));
  }

  private void checkOwned(TargetId target) {
    OwnerRow row = store.owner(target).row();
    SimulatedInstance owner = row == null ? null : instances.get(row.owner());
    boolean owned =
        owner != null && row.fencing() == owner.rightsOf(target).map(Rights::fencing).orElse(-1L);
    if (!owned || !owner.mayCommand(target)) {
      violation("no owner of " + target + " after the faults: " + row);
    }
  }

  private void inject() {
    InstanceId name = names().get(random.nextInt(instances.size()));
    SimulatedInstance instance = instances.get(name);
    switch (random.nextInt(8)) {
      case 0 -> instance.pause(random.nextLong(200, 40_000));
      case 1 -> {
        instance.kill();
        after(random.nextLong(100, 25_000), () -> start(name));
      }
      case 2, 3 -> cutStore(name, random.nextLong(1_000, 40_000));
      case 4 -> names().forEach(each -> cutStore(each, random.nextLong(5_000, 40_000)));
      case 5 -> cutPeers(name, random.nextLong(1_000, 40_000));
      case 6 -> instance.drain();
      default -> {
        InstanceId other = names().get(random.nextInt(instances.size()));
        cut(name + ">" + other, random.nextLong(1_000, 40_000));
      }
    }
  }

  private void cutStore(InstanceId name, long forMs) {
    // Only the answers are lost in one direction: writes take effect and nobody is told.
    cut(random.nextBoolean() ? name + ">store" : "store>" + name, forMs);
  }

  private void cutPeers(InstanceId name, long forMs) {
    for (InstanceId other : names()) {
      cut(name + ">" + other, forMs);
      cut(other + ">" + name, forMs);
    }
  }

  private void cut(String link, long forMs) {
    trace("cut " + link + " for " + forMs);
    cutLinks.add(link);
    after(forMs, () -> cutLinks.remove(link));
  }

  /** Delivers over a link once, twice or not at all, after a delay. */
  void deliver(String from, String to, Runnable receive) {
    if (cutLinks.contains(from + ">" + to) || lossy && random.nextInt(20) == 0) {
      return;
    }
    int copies = lossy && random.nextInt(20) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean slow = lossy && random.nextInt(30) == 0;
      after(slow ? random.nextLong(200, 8_000) : random.nextLong(1, 100), receive);
    }
  }

  /** Checks a load or eviction when it is ordered. */
  void ordered(SimulatedInstance by, TargetId target, long fencing, String order) {
    commands++;
    OwnerRow row = store.owner(target).row();
    if (row == null || !row.owner().equals(by.name) || row.fencing() != fencing) {
      violation(by + " ordered " + order + " under " + fencing + " while the row is " + row);
    }
  }

  /** Checks a takeover when it is ordered. */
  void taking(SimulatedInstance by, OwnershipAction.WriteOwner write) {
    if (write.lease().isEmpty()) {
      return;
    }
    takeovers++;
    InstanceId holder = write.lease().get().row().holder();
    if (by.isBoundTo(holder)) {
      violation(by + " takes from " + holder + " in spite of its promise");
    }
  }

  Optional<SimulatedInstance> instance(InstanceId name) {
    return Optional.ofNullable(instances.get(name)).filter(instance -> !instance.stopped);
  }
}
