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
 * Simulates instances, engines and a store on one clock, with faults drawn from a seed. Records
 * every violation of a rule with its time.
 */
final class OwnershipSimulation {

  static final long LONGEST_REQUEST_MS = 5_000;
  static final long TICK_INTERVAL_MS = 200;
  private static final long FAULT_PHASE_MS = 120_000;
  private static final long RECOVERY_PHASE_MS = 90_000;

  private record Task(long dueMs, long sequence, Runnable action) {}

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

  /** Whether messages may be lost, duplicated or delayed at random. */
  private boolean messageFaultsEnabled;

  private long lastTaskSequence;
  private long lastIncarnation;
  long nowMs;
  int commandCount;
  int takeoverCount;

  OwnershipSimulation(long seed, int instanceCount, int targetCount) {
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
    SimulatedInstance instance = new SimulatedInstance(this, name, ++lastIncarnation);
    instances.put(name, instance);
    trace("start " + name + " as " + lastIncarnation);
    instance.start();
  }

  List<InstanceId> instanceNames() {
    return List.copyOf(instances.keySet());
  }

  void schedule(long delayMs, Runnable action) {
    tasks.add(new Task(nowMs + delayMs, ++lastTaskSequence, action));
  }

  void trace(String line) {
    trace.add(nowMs + " " + line);
  }

  void recordViolation(String line) {
    trace("VIOLATION " + line);
    violations.add(nowMs + " " + line);
  }

  private void runUntil(long endMs) {
    while (!tasks.isEmpty() && tasks.peek().dueMs() <= endMs) {
      Task task = tasks.poll();
      nowMs = task.dueMs();
      task.action().run();
    }
    nowMs = endMs;
  }

  /** Runs with faults, then without, and checks that every target has an owner at the end. */
  void run() {
    runUntil(20_000);
    messageFaultsEnabled = true;
    long end = nowMs + FAULT_PHASE_MS;
    while (nowMs < end) {
      injectFault();
      runUntil(nowMs + random.nextLong(500, 12_000));
    }
    messageFaultsEnabled = false;
    cutLinks.clear();
    instances.values().forEach(SimulatedInstance::recover);
    instanceNames().forEach(this::start);
    runUntil(nowMs + RECOVERY_PHASE_MS);
    engines.keySet().forEach(this::checkOwned);
    engines.values().forEach(engine -> violations.addAll(engine.violations));
  }

  private void checkOwned(TargetId target) {
    OwnerRow row = store.owner(target).row();
    SimulatedInstance owner = row == null ? null : instances.get(row.owner());
    boolean owned =
        owner != null && row.fencing() == owner.rightsOf(target).map(Rights::fencing).orElse(-1L);
    if (!owned || !owner.mayCommand(target)) {
      recordViolation("no owner of " + target + " after the faults: " + row);
    }
  }

  private void injectFault() {
    InstanceId name = instanceNames().get(random.nextInt(instances.size()));
    SimulatedInstance instance = instances.get(name);
    switch (random.nextInt(8)) {
      case 0 -> instance.pause(random.nextLong(200, 40_000));
      case 1 -> {
        instance.kill();
        schedule(random.nextLong(100, 25_000), () -> start(name));
      }
      case 2, 3 -> cutStoreLink(name, random.nextLong(1_000, 40_000));
      case 4 -> instanceNames().forEach(each -> cutStoreLink(each, random.nextLong(5_000, 40_000)));
      case 5 -> cutPeerLinks(name, random.nextLong(1_000, 40_000));
      case 6 -> instance.drain();
      default -> {
        InstanceId other = instanceNames().get(random.nextInt(instances.size()));
        cutLink(name + ">" + other, random.nextLong(1_000, 40_000));
      }
    }
  }

  private void cutStoreLink(InstanceId name, long forMs) {
    // When only the answers are lost, writes take effect and the writer does not learn of it.
    cutLink(random.nextBoolean() ? name + ">store" : "store>" + name, forMs);
  }

  private void cutPeerLinks(InstanceId name, long forMs) {
    for (InstanceId other : instanceNames()) {
      cutLink(name + ">" + other, forMs);
      cutLink(other + ">" + name, forMs);
    }
  }

  private void cutLink(String link, long forMs) {
    trace("cut " + link + " for " + forMs);
    cutLinks.add(link);
    schedule(forMs, () -> cutLinks.remove(link));
  }

  /** Delivers a message after a delay; faults drop it, duplicate it or delay it longer. */
  void deliver(String from, String to, Runnable receive) {
    if (cutLinks.contains(from + ">" + to) || messageFaultsEnabled && random.nextInt(20) == 0) {
      return;
    }
    int copies = messageFaultsEnabled && random.nextInt(20) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean slow = messageFaultsEnabled && random.nextInt(30) == 0;
      schedule(slow ? random.nextLong(200, 8_000) : random.nextLong(1, 100), receive);
    }
  }

  /** Checks that a load or unload command is sent by the owner that the store names. */
  void checkCommand(SimulatedInstance by, TargetId target, long fencing, String command) {
    commandCount++;
    OwnerRow row = store.owner(target).row();
    if (row == null || !row.owner().equals(by.name) || row.fencing() != fencing) {
      recordViolation(by + " sent " + command + " under " + fencing + " while the row is " + row);
    }
  }

  /** Checks that a takeover breaks no promise to the owner. */
  void checkTakeover(SimulatedInstance by, OwnershipAction.WriteOwner write) {
    if (write.voidedLease().isEmpty()) {
      return;
    }
    takeoverCount++;
    InstanceId holder = write.voidedLease().get().row().holder();
    if (by.isBoundTo(holder)) {
      recordViolation(by + " takes from " + holder + " in spite of its promise");
    }
  }

  Optional<SimulatedInstance> runningInstance(InstanceId name) {
    return Optional.ofNullable(instances.get(name)).filter(instance -> !instance.stopped);
  }
}
