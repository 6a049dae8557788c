package org.apricotstand.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;

/**
 * Simulates instances, a table service, links and a service. Every message is a pending delivery
 * that is made in random order, lost, duplicated or late; instances die, pause and return.
 */
final class ClaimWorld {

  static final long DEADLINE_MS = 30_000;
  private static final int LOST_PERCENT = 15;
  private static final int INSTANCES = 3;

  /** One sending of an identity through one instance. */
  static final class Sending {
    final String identity;
    final String nonce;
    final List<ClaimEnding> endings = new ArrayList<>();
    int instance;
    boolean holderDied;

    Sending(String identity, String nonce) {
      this.identity = identity;
      this.nonce = nonce;
    }
  }

  private static final class Instance {
    long incarnation = 1;
    boolean paused;
    ClaimBatcher batcher = new ClaimBatcher(10);
    Map<String, ClaimMachine> machines = new LinkedHashMap<>();
  }

  private record Delivery(int instance, long incarnation, Runnable task) {}

  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final TreeMap<String, StoredClaim> table = new TreeMap<>();
  private final List<Delivery> pending = new ArrayList<>();
  private final Map<Delivery, Long> timers = new LinkedHashMap<>();
  final List<Sending> sendings = new ArrayList<>();
  final Map<String, Integer> runsOfIdentity = new HashMap<>();
  final Map<String, Integer> dispatchesOfIdentity = new HashMap<>();
  final Map<String, Integer> runsOfNonce = new HashMap<>();
  private long nowMs;
  private long lastVersion;
  private boolean tableDown;

  ClaimWorld(long seed) {
    random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance());
    }
  }

  void send(String identity, int at) {
    Instance instance = instances.get(at);
    Sending sending = new Sending(identity, identity + "#" + sendings.size());
    sending.instance = at;
    sendings.add(sending);
    ClaimRow row =
        new ClaimRow(
            ClaimRow.State.CLAIMED,
            Integer.toString(at),
            instance.incarnation,
            sending.nonce,
            "same",
            0,
            null);
    ClaimMachine machine = new ClaimMachine(identity, row, nowMs + DEADLINE_MS);
    instance.machines.put(sending.nonce, machine);
    deliver(at, () -> step(at, sending, new ClaimEvent.Begun()));
  }

  /** Lets one random thing happen. */
  void step() {
    int dice = random.nextInt(100);
    if (dice < 2) {
      kill(random.nextInt(INSTANCES));
    } else if (dice < 4) {
      tableDown = !tableDown;
    } else if (dice < 6) {
      Instance instance = instances.get(random.nextInt(INSTANCES));
      instance.paused = !instance.paused;
    } else if (dice < 20 || pending.isEmpty()) {
      nowMs += random.nextInt(dice < 8 ? 20_000 : 300);
      fireTimers();
    } else {
      deliverOne();
    }
  }

  /** Ends the faults and lets everything that is under way end. */
  void settle() {
    tableDown = false;
    instances.forEach(instance -> instance.paused = false);
    while (!pending.isEmpty() || !timers.isEmpty()) {
      while (!pending.isEmpty()) {
        deliverOne();
      }
      nowMs += 1_000;
      fireTimers();
    }
  }

  private void deliverOne() {
    if (pending.isEmpty()) {
      return;
    }
    Delivery next = pending.get(random.nextInt(pending.size()));
    if (next.instance() < 0 || !instances.get(next.instance()).paused) {
      pending.remove(next);
      run(next);
    }
  }

  private void run(Delivery delivery) {
    int at = delivery.instance();
    if (at < 0 || instances.get(at).incarnation == delivery.incarnation()) {
      delivery.task().run();
    }
  }

  private void fireTimers() {
    List<Delivery> due =
        timers.entrySet().stream()
            .filter(timer -> timer.getValue() <= nowMs)
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(timers::remove);
    pending.addAll(due);
  }

  private void kill(int at) {
    Instance dead = instances.get(at);
    dead.incarnation++;
    dead.batcher = new ClaimBatcher(10);
    dead.machines = new LinkedHashMap<>();
    dead.paused = false;
    sendings.stream()
        .filter(sending -> sending.instance == at)
        .forEach(sending -> sending.holderDied = true);
    sendings.stream()
        .filter(sending -> sending.instance != at)
        .forEach(
            sending -> deliver(sending.instance, () -> step(sending, new ClaimEvent.HolderLost())));
  }

  private void deliver(int at, Runnable task) {
    pending.add(new Delivery(at, at < 0 ? 0 : instances.get(at).incarnation, task));
  }

  private void deliverAt(long dueMs, int at, Runnable task) {
    timers.put(new Delivery(at, instances.get(at).incarnation, task), dueMs);
  }

  private boolean happens(int percent) {
    return random.nextInt(100) < percent;
  }

  private void step(Sending sending, ClaimEvent event) {
    step(sending.instance, sending, event);
  }

  private void step(int at, Sending sending, ClaimEvent event) {
    ClaimMachine machine = instances.get(at).machines.get(sending.nonce);
    if (machine != null) {
      machine.handle(event, nowMs).forEach(action -> perform(at, sending, action));
    }
  }

  private void perform(int at, Sending sending, ClaimAction action) {
    switch (action) {
      case ClaimAction.Write(ClaimWrite write) -> batch(at, new BatchEvent.Submitted(write));
      case ClaimAction.Read(String key) -> read(sending, key);
      case ClaimAction.Dispatch dispatch -> call(sending);
      case ClaimAction.AskHolder ask -> ask(at, sending, ask);
      case ClaimAction.Finish(ClaimEnding ending) -> sending.endings.add(ending);
      case ClaimAction.Reply(String waitId, ClaimEnding ending) -> reply(waitId, ending);
      case ClaimAction.WakeAt(long dueMs) ->
          deliverAt(dueMs, at, () -> step(at, sending, new ClaimEvent.Woken()));
      case ClaimAction.Retire retire -> instances.get(at).machines.remove(sending.nonce);
    }
  }

  private void batch(int at, BatchEvent event) {
    for (BatchAction action : instances.get(at).batcher.handle(event, nowMs)) {
      switch (action) {
        case BatchAction.Commit(long batchId, List<ClaimWrite> writes) ->
            commit(at, batchId, writes);
        case BatchAction.Ended(ClaimWrite write, WriteResult result) ->
            sendings.stream()
                .filter(sending -> sending.nonce.equals(write.nonce()))
                .forEach(sending -> step(sending, new ClaimEvent.WriteEnded(result)));
        case BatchAction.WakeAt(long dueMs) ->
            deliverAt(dueMs, at, () -> batch(at, new BatchEvent.Woken()));
      }
    }
  }

  private void commit(int at, long batchId, List<ClaimWrite> writes) {
    if (tableDown) {
      deliver(at, () -> batch(at, new BatchEvent.Unreachable(batchId)));
    } else if (happens(LOST_PERCENT)) {
      deliver(at, () -> batch(at, new BatchEvent.Lost(batchId)));
      if (happens(70)) {
        // The request takes effect, perhaps long after the instance gave it up.
        deliver(-1, () -> apply(writes));
      }
    } else {
      long incarnation = instances.get(at).incarnation;
      deliver(
          -1,
          () -> {
            Optional<List<Long>> versions = apply(writes);
            Map<String, StoredClaim> current = new HashMap<>();
            writes.forEach(write -> current.computeIfAbsent(write.key(), table::get));
            BatchEvent event =
                versions
                    .<BatchEvent>map(found -> new BatchEvent.Committed(batchId, found))
                    .orElse(new BatchEvent.Conflicted(batchId, current));
            pending.add(new Delivery(at, incarnation, () -> batch(at, event)));
          });
    }
  }

  private Optional<List<Long>> apply(List<ClaimWrite> writes) {
    boolean holds =
        writes.stream()
            .allMatch(
                write -> {
                  StoredClaim found = table.get(write.key());
                  return (found == null ? 0 : found.version()) == write.expectedVersion();
                });
    if (!holds) {
      return Optional.empty();
    }
    List<Long> versions = new ArrayList<>();
    for (ClaimWrite write : writes) {
      lastVersion++;
      versions.add(lastVersion);
      if (write.row().isPresent()) {
        table.put(write.key(), new StoredClaim(write.row().get(), lastVersion));
      } else {
        table.remove(write.key());
      }
    }
    return Optional.of(versions);
  }

  private void read(Sending sending, String key) {
    if (tableDown || happens(LOST_PERCENT)) {
      deliver(sending.instance, () -> step(sending, new ClaimEvent.ReadFailed()));
    } else {
      deliver(
          -1,
          () -> {
            Optional<StoredClaim> row = Optional.ofNullable(table.get(key));
            deliver(sending.instance, () -> step(sending, new ClaimEvent.RowRead(row)));
          });
    }
  }

  private void call(Sending sending) {
    dispatchesOfIdentity.merge(sending.identity, 1, Integer::sum);
    int dice = random.nextInt(100);
    Failure failure = new Failure(Step.DISPATCH, "service", "simulated", "simulated");
    if (dice < 20) {
      // A call that is not sent is no dispatch: the claim may be released and made again.
      dispatchesOfIdentity.merge(sending.identity, -1, Integer::sum);
      deliver(sending.instance, () -> step(sending, new ClaimEvent.CallNotSent(failure)));
      return;
    }
    boolean runs = dice < 90;
    deliver(
        -1,
        () -> {
          if (runs) {
            runsOfIdentity.merge(sending.identity, 1, Integer::sum);
            runsOfNonce.merge(sending.nonce, 1, Integer::sum);
          }
          ClaimEvent event =
              runs && dice < 70
                  ? new ClaimEvent.CallAnswered(answerTo(sending.identity))
                  : new ClaimEvent.CallLost(failure);
          deliver(sending.instance, () -> step(sending, event));
        });
  }

  static StoredAnswer answerTo(String identity) {
    return new StoredAnswer(200, Map.of(), identity.getBytes(StandardCharsets.UTF_8));
  }

  private void ask(int at, Sending sending, ClaimAction.AskHolder ask) {
    int holder = Integer.parseInt(ask.holder());
    if (instances.get(holder).incarnation != ask.holderIncarnation()) {
      deliver(at, () -> step(sending, new ClaimEvent.HolderLost()));
      return;
    }
    int copies = happens(LOST_PERCENT) ? 0 : 1 + random.nextInt(2);
    for (int i = 0; i < copies; i++) {
      deliver(holder, () -> waited(holder, sending, ask));
    }
  }

  private void waited(int holder, Sending sending, ClaimAction.AskHolder ask) {
    ClaimMachine machine = instances.get(holder).machines.get(ask.nonce());
    if (machine == null) {
      Failure failure = new Failure(Step.CLAIM, ask.holder(), ClaimCodes.HOLDER_LOST, "forgotten");
      reply(sending.nonce, new ClaimEnding.Unknown(failure));
      return;
    }
    sendings.stream()
        .filter(held -> held.nonce.equals(ask.nonce()))
        .forEach(held -> step(held, new ClaimEvent.Waited(sending.nonce, nowMs + DEADLINE_MS)));
  }

  private void reply(String waitId, ClaimEnding ending) {
    int copies = happens(LOST_PERCENT) ? 0 : 1 + random.nextInt(2);
    sendings.stream()
        .filter(sending -> sending.nonce.equals(waitId))
        .forEach(
            sending -> {
              for (int i = 0; i < copies; i++) {
                deliver(
                    sending.instance, () -> step(sending, new ClaimEvent.HolderAnswered(ending)));
              }
            });
  }
}
