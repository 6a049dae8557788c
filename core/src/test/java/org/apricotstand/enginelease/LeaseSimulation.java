package org.apricotstand.enginelease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.apricotstand.model.StoreVersion;

/**
 * Simulates, in simulated time, instances that own engines by leases, and injects faults. The store
 * is slow, loses answers, carries out writes late and is unreachable for some instances. Reports
 * between instances are late or lost. Instances are suspended, killed, drained and restarted under
 * the same name. Each instance sends a command to each engine whenever its leases allow it, and all
 * commands are recorded. If asked to, the store is restored from older copies of itself: it loses
 * what was written since and gives out the same numbers again, in a new era.
 */
final class LeaseSimulation {

  static final long HANDOVER_PAUSE_MS = 3_000;
  static final long DURATION_MS = 60_000;

  private static final long STEP_MS = 20;
  private static final long REPORT_PERIOD_MS = 150;
  private static final long CALL_TIMEOUT_MS = 1_200;
  private static final long NEW_SYSTEM_MS = 2_000;
  private static final long COPY_PERIOD_MS = 500;

  /** Probability of a restore in a step, for about three in a simulation. */
  private static final double RESTORE_PROBABILITY = 0.001;

  // Instances do not detect shorter pauses.
  private static final long DETECTED_PAUSE_MS = 1_100;
  private static final List<String> DOMAINS = List.of("d1", "d2", "d3");

  private final Random random;
  private final Random restoreRandom;
  private final boolean isRestored;
  private final Deque<Copy> copies = new ArrayDeque<>();
  private final Map<String, LeaseRecord> rows = new TreeMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, String> engines = new TreeMap<>();
  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atMs).thenComparingLong(ScheduledTask::number));
  private final List<Command> commands = new ArrayList<>();
  private long nowMs;
  private long storeVersion;
  private long storeEra = 1;
  private long storeAwayUntilMs;
  private int restoreCount;
  private long nextTaskNumber;

  /** A command that reached its engine. */
  record Command(long atMs, String engine, String owner, long fencingNumber) {}

  /** What the store held at a time. */
  private record Copy(long atMs, long storeVersion, Map<String, LeaseRecord> rows) {}

  private record ScheduledTask(long atMs, long number, Runnable task) {}

  LeaseSimulation(long seed, boolean isRestored) {
    this.isRestored = isRestored;
    random = new Random(seed);
    restoreRandom = new Random(~seed);
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      instances.add(new Instance("n" + i, DOMAINS.get(i % DOMAINS.size())));
    }
    for (int i = 0; i < 3; i++) {
      engines.put("e" + i, DOMAINS.get(i));
    }
  }

  /** Runs the simulation and returns the commands in the order of their arrival. */
  List<Command> run() {
    instances.forEach(Instance::start);
    for (nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atMs <= nowMs) {
        scheduledTasks.poll().task.run();
      }
      if (isRestored) {
        stepStore();
      }
      instances.forEach(Instance::step);
    }
    return commands;
  }

  /** Returns how often the store was restored. */
  int restoreCount() {
    return restoreCount;
  }

  private void stepStore() {
    boolean isAway = nowMs < storeAwayUntilMs;
    if (!isAway && nowMs % COPY_PERIOD_MS == 0) {
      copies.addLast(new Copy(nowMs, storeVersion, Map.copyOf(rows)));
    }
    if (!isAway && restoreRandom.nextDouble() < RESTORE_PROBABILITY) {
      restore(nowMs - 1_000 - restoreRandom.nextLong(9_001));
      storeAwayUntilMs = nowMs + restoreRandom.nextLong(5_001);
    }
  }

  /** Restores the newest copy that was made by a time, or the oldest one. */
  private void restore(long copiedMs) {
    Copy copy = copies.isEmpty() ? new Copy(0, 0, Map.of()) : copies.getFirst();
    while (!copies.isEmpty() && copies.getFirst().atMs <= copiedMs) {
      copy = copies.removeFirst();
    }
    copies.clear();
    restoreCount++;
    storeEra++;
    storeVersion = copy.storeVersion;
    rows.clear();
    copy.rows.forEach((engine, row) -> rows.put(engine, inCurrentEra(row)));
  }

  private LeaseRecord inCurrentEra(LeaseRecord row) {
    StoreVersion version = new StoreVersion(storeEra, row.rowVersion().number());
    return LeaseRecord.decode(row.engine(), row.content(), version);
  }

  private void schedule(long atMs, Runnable task) {
    scheduledTasks.add(new ScheduledTask(atMs, nextTaskNumber++, task));
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  private long randomBetween(long minMs, long maxMs) {
    return minMs + random.nextLong(maxMs - minMs + 1);
  }

  /** An instance name on one machine; each start creates a new process. */
  private final class Instance {
    private final String name;
    private final String domain;
    private EngineLeases leases;
    private long processNumber;
    private long seenEra;
    private boolean running;
    private boolean suspended;
    private long suspendedUntilMs;
    private long totalSuspendedMs;
    private long storeReachableAtMs;
    private long nextReportMs;
    private boolean draining;

    Instance(String name, String domain) {
      this.name = name;
      this.domain = domain;
    }

    void start() {
      processNumber++;
      running = true;
      draining = false;
      seenEra = 0;
      leases =
          new EngineLeases(
              name, HANDOVER_PAUSE_MS, processNumber == 1 ? NEW_SYSTEM_MS : Long.MIN_VALUE);
      handle(new LeaseEvent.InstancesChanged(liveDomains()));
      handle(new LeaseEvent.EnginesChanged(engines));
    }

    private Map<String, String> liveDomains() {
      Map<String, String> domains = new HashMap<>(Map.of(name, domain));
      instances.stream()
          .filter(other -> other.running)
          .forEach(other -> domains.put(other.name, other.domain));
      return domains;
    }

    /** Returns the monotonic time of the machine, which stands still while it is suspended. */
    private long localMs() {
      return nowMs - totalSuspendedMs;
    }

    private boolean isAwake() {
      return running && !suspended;
    }

    void step() {
      injectFaults();
      if (!isAwake()) {
        return;
      }
      handle(new LeaseEvent.Tick());
      sendCommands();
      if (nowMs >= nextReportMs) {
        nextReportMs = nowMs + REPORT_PERIOD_MS;
        reportLeases();
      }
    }

    private void injectFaults() {
      if (!isAwake()) {
        return;
      }
      if (chance(0.001)) {
        suspend(
            chance(0.5) ? randomBetween(100, DETECTED_PAUSE_MS - 1) : randomBetween(1_100, 14_000));
      } else if (chance(0.0005)) {
        stopFor(randomBetween(300, 14_000));
      } else if (chance(0.0005)) {
        drain();
      } else if (chance(0.0007)) {
        storeReachableAtMs = nowMs + randomBetween(500, 14_000);
      }
    }

    private void suspend(long forMs) {
      suspended = true;
      suspendedUntilMs = nowMs + forMs;
      long suspendedProcess = processNumber;
      schedule(
          suspendedUntilMs,
          () -> {
            suspended = false;
            totalSuspendedMs += forMs;
            if (running && processNumber == suspendedProcess && forMs >= DETECTED_PAUSE_MS) {
              handle(new LeaseEvent.ProcessPaused());
            }
          });
    }

    private void stopFor(long forMs) {
      running = false;
      schedule(nowMs + forMs, this::start);
    }

    private void drain() {
      if (draining) {
        return;
      }
      draining = true;
      handle(new LeaseEvent.ReleaseRequested());
      long drainedProcess = processNumber;
      schedule(
          nowMs + 300,
          () -> {
            if (running && processNumber == drainedProcess) {
              stopFor(randomBetween(300, 3_000));
            }
          });
    }

    private void sendCommands() {
      for (String engine : engines.keySet()) {
        if (leases.mayCommand(engine, localMs())) {
          commands.add(new Command(nowMs, engine, name, leases.fencingNumber(engine)));
        }
      }
    }

    private void reportLeases() {
      Map<String, LeaseStatus> statuses = leases.leaseStatuses(localMs());
      for (Instance other : instances) {
        if (other != this && !chance(0.05)) {
          long delayMs = chance(0.05) ? randomBetween(200, 3_000) : randomBetween(0, 60);
          schedule(
              nowMs + delayMs,
              () -> {
                if (other.isAwake()) {
                  other.handle(new LeaseEvent.LeasesReported(name, statuses));
                }
              });
        }
      }
    }

    private void handle(LeaseEvent event) {
      leases.handle(event, localMs()).forEach(this::carryOut);
    }

    private void carryOut(LeaseAction action) {
      switch (action) {
        case LeaseAction.ReadRows read -> call(this::read);
        case LeaseAction.WriteRows write -> call(sentMs -> write(write.rows(), sentMs));
        case LeaseAction.OwnershipGained gained -> {}
        case LeaseAction.OwnershipLost lost -> {}
      }
    }

    /**
     * Sends a call to the store.
     *
     * @param call takes the time at which it was sent and returns the event with its result
     */
    private void call(LongFunction<LeaseEvent> call) {
      long caller = processNumber;
      long sentMs = localMs();
      boolean[] answered = {false};
      schedule(
          nowMs + CALL_TIMEOUT_MS,
          () -> answer(caller, answered, () -> handle(new LeaseEvent.CallFailed())));
      if (nowMs < storeReachableAtMs || chance(0.03)) {
        return;
      }
      long arrivalMs = nowMs + (chance(0.05) ? randomBetween(100, 6_000) : randomBetween(2, 40));
      boolean lost = chance(0.05);
      schedule(
          arrivalMs,
          () -> {
            if (nowMs < storeAwayUntilMs) {
              return;
            }
            LeaseEvent result = call.apply(sentMs);
            long answerEra = storeEra;
            if (!lost) {
              schedule(
                  nowMs + randomBetween(1, 40), () -> answer(caller, answered, answerEra, result));
            }
          });
    }

    /** Delivers an answer of the store as its client does, which knows the era of each answer. */
    private void answer(long caller, boolean[] answered, long answerEra, LeaseEvent event) {
      answer(
          caller,
          answered,
          () -> {
            if (answerEra > seenEra) {
              seenEra = answerEra;
              handle(new LeaseEvent.EraBegan(answerEra));
            }
            handle(answerEra < seenEra ? new LeaseEvent.CallFailed() : event);
          });
    }

    private void answer(long caller, boolean[] answered, Runnable delivery) {
      if (answered[0] || processNumber != caller || !running) {
        return;
      }
      if (!isAwake()) {
        schedule(suspendedUntilMs + 1, () -> answer(caller, answered, delivery));
        return;
      }
      answered[0] = true;
      delivery.run();
    }

    private LeaseEvent read(long sentMs) {
      return new LeaseEvent.RowsRead(List.copyOf(rows.values()), sentMs);
    }

    private LeaseEvent write(List<LeaseRecord> written, long sentMs) {
      List<LeaseRecord> current =
          written.stream()
              .map(
                  row ->
                      rows.getOrDefault(row.engine(), LeaseRecord.absent(row.engine(), storeEra)))
              .toList();
      boolean isOfEarlierEra = written.stream().anyMatch(row -> row.rowVersion().era() != storeEra);
      for (int i = 0; i < written.size(); i++) {
        // The store compares numbers only.
        if (written.get(i).rowVersion().number() != current.get(i).rowVersion().number()) {
          return isOfEarlierEra
              ? new LeaseEvent.CallFailed()
              : new LeaseEvent.WriteRejected(written, current);
        }
      }
      StoreVersion version = new StoreVersion(storeEra, ++storeVersion);
      for (LeaseRecord row : written) {
        LeaseRecord stored = LeaseRecord.decode(row.engine(), row.content(), version);
        rows.put(row.engine(), stored);
      }
      return isOfEarlierEra
          ? new LeaseEvent.CallFailed()
          : new LeaseEvent.WriteCommitted(written, version, sentMs);
    }
  }
}
