package org.apricotstand.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Instances that share engines by leases, in simulated time: a store that is slow, loses answers,
 * carries out writes late and is out of reach for some; reports that are late or lost; instances
 * that freeze, are killed, drain and come back under the same name. Each instance sends a command
 * to each engine whenever it may, and the world records all of them.
 */
final class LeaseWorld {

  static final long PAUSE_MS = 3_000;
  static final long DURATION_MS = 60_000;

  private static final long STEP_MS = 20;
  private static final long REPORT_MS = 150;
  private static final long CALL_TIMEOUT_MS = 1_200;
  // Shorter pauses are not noticed by instances.
  private static final long NOTICED_PAUSE_MS = 1_100;
  private static final List<String> DOMAINS = List.of("d1", "d2", "d3");

  private final Random random;
  private final Map<String, LeaseRecord> rows = new TreeMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, String> engines = new TreeMap<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::number));
  private final List<Command> commands = new ArrayList<>();
  private long nowMs;
  private long storeVersion;
  private long dueNumber;

  /** A command that reached its engine. */
  record Command(long atMs, String engine, String holder, long fencingNumber) {}

  private record Due(long atMs, long number, Runnable task) {}

  LeaseWorld(long seed) {
    random = new Random(seed);
    int count = 2 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      instances.add(new Instance("n" + i, DOMAINS.get(i % DOMAINS.size())));
    }
    for (int i = 0; i < 3; i++) {
      engines.put("e" + i, DOMAINS.get(i));
    }
  }

  /** Runs the world and returns the commands in the order of their arrival. */
  List<Command> run() {
    instances.forEach(Instance::start);
    for (nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      while (!due.isEmpty() && due.peek().atMs <= nowMs) {
        due.poll().task.run();
      }
      instances.forEach(Instance::step);
    }
    return commands;
  }

  private void at(long atMs, Runnable task) {
    due.add(new Due(atMs, dueNumber++, task));
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  private long between(long leastMs, long mostMs) {
    return leastMs + random.nextLong(mostMs - leastMs + 1);
  }

  /** One machine; its process changes at each start. */
  private final class Instance {
    private final String name;
    private final String domain;
    private OrderLeases leases;
    private long process;
    private boolean running;
    private long frozenUntilMs;
    private long frozenSumMs;
    private long storeBackMs;
    private long nextReportMs;
    private boolean draining;

    Instance(String name, String domain) {
      this.name = name;
      this.domain = domain;
    }

    void start() {
      process++;
      running = true;
      draining = false;
      leases = new OrderLeases(name, PAUSE_MS);
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

    /** The steady clock does not count the time in which the machine is suspended. */
    private long localMs() {
      return nowMs - frozenSumMs;
    }

    private boolean isAwake() {
      return running && nowMs >= frozenUntilMs;
    }

    void step() {
      disturb();
      if (!isAwake()) {
        return;
      }
      handle(new LeaseEvent.Tick());
      command();
      if (nowMs >= nextReportMs) {
        nextReportMs = nowMs + REPORT_MS;
        report();
      }
    }

    private void disturb() {
      if (!isAwake()) {
        return;
      }
      if (chance(0.001)) {
        freeze(chance(0.5) ? between(100, NOTICED_PAUSE_MS - 1) : between(1_100, 14_000));
      } else if (chance(0.0005)) {
        stopFor(between(300, 14_000));
      } else if (chance(0.0005)) {
        drain();
      } else if (chance(0.0007)) {
        storeBackMs = nowMs + between(500, 14_000);
      }
    }

    private void freeze(long forMs) {
      frozenUntilMs = nowMs + forMs;
      long frozen = process;
      at(
          frozenUntilMs,
          () -> {
            frozenSumMs += forMs;
            if (running && process == frozen && forMs >= NOTICED_PAUSE_MS) {
              handle(new LeaseEvent.Paused());
            }
          });
    }

    private void stopFor(long forMs) {
      running = false;
      at(nowMs + forMs, this::start);
    }

    private void drain() {
      if (draining) {
        return;
      }
      draining = true;
      handle(new LeaseEvent.Leaving());
      long drained = process;
      at(
          nowMs + 300,
          () -> {
            if (running && process == drained) {
              stopFor(between(300, 3_000));
            }
          });
    }

    private void command() {
      for (String engine : engines.keySet()) {
        if (leases.mayCommand(engine, localMs())) {
          commands.add(new Command(nowMs, engine, name, leases.fencingNumber(engine)));
        }
      }
    }

    private void report() {
      Map<String, LeaseStanding> standings = leases.standings(localMs());
      for (Instance other : instances) {
        if (other != this && !chance(0.05)) {
          long delayMs = chance(0.05) ? between(200, 3_000) : between(0, 60);
          at(
              nowMs + delayMs,
              () -> {
                if (other.isAwake()) {
                  other.handle(new LeaseEvent.OwnerHeard(name, standings));
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
        case LeaseAction.Gained gained -> {}
        case LeaseAction.Lost lost -> {}
      }
    }

    /**
     * Sends a call to the store.
     *
     * @param call gets the time at which it was sent and returns the event that answers it
     */
    private void call(LongFunction<LeaseEvent> call) {
      long caller = process;
      long sentMs = localMs();
      boolean[] answered = {false};
      at(nowMs + CALL_TIMEOUT_MS, () -> answer(caller, answered, new LeaseEvent.CallFailed()));
      if (nowMs < storeBackMs || chance(0.03)) {
        return;
      }
      long arrivesMs = nowMs + (chance(0.05) ? between(100, 6_000) : between(2, 40));
      boolean lost = chance(0.05);
      at(
          arrivesMs,
          () -> {
            LeaseEvent result = call.apply(sentMs);
            if (!lost) {
              at(nowMs + between(1, 40), () -> answer(caller, answered, result));
            }
          });
    }

    private void answer(long caller, boolean[] answered, LeaseEvent event) {
      if (answered[0] || process != caller || !running) {
        return;
      }
      if (!isAwake()) {
        at(frozenUntilMs + 1, () -> answer(caller, answered, event));
        return;
      }
      answered[0] = true;
      handle(event);
    }

    private LeaseEvent read(long sentMs) {
      return new LeaseEvent.RowsRead(List.copyOf(rows.values()), sentMs);
    }

    private LeaseEvent write(List<LeaseRecord> written, long sentMs) {
      List<LeaseRecord> current =
          written.stream()
              .map(row -> rows.getOrDefault(row.engine(), LeaseRecord.absent(row.engine())))
              .toList();
      for (int i = 0; i < written.size(); i++) {
        if (written.get(i).rowVersion() != current.get(i).rowVersion()) {
          return new LeaseEvent.Rejected(written, current);
        }
      }
      long version = ++storeVersion;
      for (LeaseRecord row : written) {
        LeaseRecord stored = LeaseRecord.decode(row.engine(), row.content(), version);
        rows.put(row.engine(), stored);
      }
      return new LeaseEvent.Written(written, version, sentMs);
    }
  }
}
