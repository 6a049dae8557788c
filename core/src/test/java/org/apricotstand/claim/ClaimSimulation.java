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
 * Simulates instances, a table service, links and a plain service. Messages are pending deliveries
 * that are made in random order and may be lost, duplicated or delayed; instances are restarted,
 * paused and resumed.
 */
final class ClaimSimulation {

  static final long DEADLINE_MS = 30_000;
  private static final int LOST_PERCENT = 15;
  private static final int INSTANCES = 3;

  /** One arrival of the request with an idempotency key at an instance. */
  static final class Attempt {
    final String idempotencyKey;
    final String nonce;
    final List<ClaimOutcome> outcomes = new ArrayList<>();
    int instance;
    boolean holderRestarted;

    Attempt(String idempotencyKey, String nonce) {
      this.idempotencyKey = idempotencyKey;
      this.nonce = nonce;
    }
  }

  private static final class Instance {
    long incarnation = 1;
    boolean paused;
    ClaimBatcher batcher = new ClaimBatcher(10);
    Map<String, ClaimMachine> machines = new LinkedHashMap<>();
  }

  /**
   * A message or timer that has not arrived yet.
   *
   * @param instance index of the receiving instance, or -1 for the table service or plain service
   * @param incarnation incarnation of that instance; a restart loses the delivery
   */
  private record Delivery(int instance, long incarnation, Runnable task) {}

  private final Random random;
  private final List<Instance> instances = new ArrayList<>();
  private final TreeMap<String, StoredClaim> table = new TreeMap<>();
  private final List<Delivery> pending = new ArrayList<>();
  private final Map<Delivery, Long> timers = new LinkedHashMap<>();
  final List<Attempt> attempts = new ArrayList<>();
  final Map<String, Integer> runsByIdempotencyKey = new HashMap<>();
  final Map<String, Integer> dispatchesByIdempotencyKey = new HashMap<>();
  final Map<String, Integer> runsByNonce = new HashMap<>();
  private long nowMs;
  private long lastVersion;
  private boolean tableDown;

  ClaimSimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance());
    }
  }

  void send(String idempotencyKey, int instanceIndex) {
    Instance instance = instances.get(instanceIndex);
    Attempt attempt = new Attempt(idempotencyKey, idempotencyKey + "#" + attempts.size());
    attempt.instance = instanceIndex;
    attempts.add(attempt);
    ClaimRow row =
        new ClaimRow(
            ClaimRow.State.CLAIMED,
            Integer.toString(instanceIndex),
            instance.incarnation,
            attempt.nonce,
            "same",
            0,
            null);
    ClaimMachine machine = new ClaimMachine(idempotencyKey, row, nowMs + DEADLINE_MS);
    instance.machines.put(attempt.nonce, machine);
    deliver(instanceIndex, () -> step(instanceIndex, attempt, new ClaimEvent.RequestReceived()));
  }

  /** Makes one random delivery, fault or advance of the clock. */
  void step() {
    int dice = random.nextInt(100);
    if (dice < 2) {
      restart(random.nextInt(INSTANCES));
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

  /** Ends all faults and runs until no delivery and no timer is left. */
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
    int instanceIndex = delivery.instance();
    if (instanceIndex < 0 || instances.get(instanceIndex).incarnation == delivery.incarnation()) {
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

  private void restart(int instanceIndex) {
    Instance instance = instances.get(instanceIndex);
    instance.incarnation++;
    instance.batcher = new ClaimBatcher(10);
    instance.machines = new LinkedHashMap<>();
    instance.paused = false;
    attempts.stream()
        .filter(attempt -> attempt.instance == instanceIndex)
        .forEach(attempt -> attempt.holderRestarted = true);
    attempts.stream()
        .filter(attempt -> attempt.instance != instanceIndex)
        .forEach(
            attempt -> deliver(attempt.instance, () -> step(attempt, new ClaimEvent.HolderLost())));
  }

  private void deliver(int instanceIndex, Runnable task) {
    pending.add(
        new Delivery(
            instanceIndex, instanceIndex < 0 ? 0 : instances.get(instanceIndex).incarnation, task));
  }

  private void deliverAt(long dueMs, int instanceIndex, Runnable task) {
    timers.put(new Delivery(instanceIndex, instances.get(instanceIndex).incarnation, task), dueMs);
  }

  private boolean happens(int percent) {
    return random.nextInt(100) < percent;
  }

  private void step(Attempt attempt, ClaimEvent event) {
    step(attempt.instance, attempt, event);
  }

  private void step(int instanceIndex, Attempt attempt, ClaimEvent event) {
    ClaimMachine machine = instances.get(instanceIndex).machines.get(attempt.nonce);
    if (machine != null) {
      machine.handle(event, nowMs).forEach(action -> perform(instanceIndex, attempt, action));
    }
  }

  private void perform(int instanceIndex, Attempt attempt, ClaimAction action) {
    switch (action) {
      case ClaimAction.Write(ClaimWrite write) ->
          handleBatchEvent(instanceIndex, new BatchEvent.WriteSubmitted(write));
      case ClaimAction.Read(String key) -> read(attempt, key);
      case ClaimAction.Dispatch dispatch -> call(attempt);
      case ClaimAction.AskHolder ask -> askHolder(instanceIndex, attempt, ask);
      case ClaimAction.ReplyToCaller(ClaimOutcome outcome) -> attempt.outcomes.add(outcome);
      case ClaimAction.ReplyToWaiter(String waitId, ClaimOutcome outcome) -> reply(waitId, outcome);
      case ClaimAction.SetTimer(long dueMs) ->
          deliverAt(
              dueMs,
              instanceIndex,
              () -> step(instanceIndex, attempt, new ClaimEvent.TimerFired()));
      case ClaimAction.DiscardMachine discard ->
          instances.get(instanceIndex).machines.remove(attempt.nonce);
    }
  }

  private void handleBatchEvent(int instanceIndex, BatchEvent event) {
    for (BatchAction action : instances.get(instanceIndex).batcher.handle(event, nowMs)) {
      switch (action) {
        case BatchAction.Commit(long batchId, List<ClaimWrite> writes) ->
            commit(instanceIndex, batchId, writes);
        case BatchAction.ReportResult(ClaimWrite write, WriteResult result) ->
            attempts.stream()
                .filter(attempt -> attempt.nonce.equals(write.nonce()))
                .forEach(attempt -> step(attempt, new ClaimEvent.WriteEnded(result)));
        case BatchAction.SetTimer(long dueMs) ->
            deliverAt(
                dueMs,
                instanceIndex,
                () -> handleBatchEvent(instanceIndex, new BatchEvent.TimerFired()));
      }
    }
  }

  private void commit(int instanceIndex, long batchId, List<ClaimWrite> writes) {
    if (tableDown) {
      deliver(
          instanceIndex,
          () -> handleBatchEvent(instanceIndex, new BatchEvent.Unreachable(batchId)));
    } else if (happens(LOST_PERCENT)) {
      deliver(
          instanceIndex,
          () -> handleBatchEvent(instanceIndex, new BatchEvent.OutcomeUnknown(batchId)));
      if (happens(70)) {
        // The request takes effect, possibly long after the instance stopped waiting for it.
        deliver(-1, () -> apply(writes));
      }
    } else {
      long incarnation = instances.get(instanceIndex).incarnation;
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
            pending.add(
                new Delivery(
                    instanceIndex, incarnation, () -> handleBatchEvent(instanceIndex, event)));
          });
    }
  }

  private Optional<List<Long>> apply(List<ClaimWrite> writes) {
    boolean conditionsHold =
        writes.stream()
            .allMatch(
                write -> {
                  StoredClaim found = table.get(write.key());
                  return (found == null ? 0 : found.version()) == write.expectedVersion();
                });
    if (!conditionsHold) {
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

  private void read(Attempt attempt, String key) {
    if (tableDown || happens(LOST_PERCENT)) {
      deliver(attempt.instance, () -> step(attempt, new ClaimEvent.ReadFailed()));
    } else {
      deliver(
          -1,
          () -> {
            Optional<StoredClaim> row = Optional.ofNullable(table.get(key));
            deliver(attempt.instance, () -> step(attempt, new ClaimEvent.RowRead(row)));
          });
    }
  }

  private void call(Attempt attempt) {
    dispatchesByIdempotencyKey.merge(attempt.idempotencyKey, 1, Integer::sum);
    int dice = random.nextInt(100);
    Failure failure = new Failure(Step.DISPATCH, "service", "simulated", "simulated");
    if (dice < 20) {
      // A call that is not sent does not count as a dispatch: the claim may be released and made
      // again.
      dispatchesByIdempotencyKey.merge(attempt.idempotencyKey, -1, Integer::sum);
      deliver(attempt.instance, () -> step(attempt, new ClaimEvent.CallNotSent(failure)));
      return;
    }
    boolean runs = dice < 90;
    deliver(
        -1,
        () -> {
          if (runs) {
            runsByIdempotencyKey.merge(attempt.idempotencyKey, 1, Integer::sum);
            runsByNonce.merge(attempt.nonce, 1, Integer::sum);
          }
          ClaimEvent event =
              runs && dice < 70
                  ? new ClaimEvent.CallAnswered(answerTo(attempt.idempotencyKey))
                  : new ClaimEvent.CallOutcomeUnknown(failure);
          deliver(attempt.instance, () -> step(attempt, event));
        });
  }

  static StoredAnswer answerTo(String idempotencyKey) {
    return new StoredAnswer(200, Map.of(), idempotencyKey.getBytes(StandardCharsets.UTF_8));
  }

  private void askHolder(int instanceIndex, Attempt attempt, ClaimAction.AskHolder ask) {
    int holder = Integer.parseInt(ask.holder());
    if (instances.get(holder).incarnation != ask.holderIncarnation()) {
      deliver(instanceIndex, () -> step(attempt, new ClaimEvent.HolderLost()));
      return;
    }
    int copies = happens(LOST_PERCENT) ? 0 : 1 + random.nextInt(2);
    for (int i = 0; i < copies; i++) {
      deliver(holder, () -> requestWait(holder, attempt, ask));
    }
  }

  private void requestWait(int holder, Attempt attempt, ClaimAction.AskHolder ask) {
    ClaimMachine machine = instances.get(holder).machines.get(ask.nonce());
    if (machine == null) {
      Failure failure = new Failure(Step.CLAIM, ask.holder(), ClaimCodes.HOLDER_LOST, "forgotten");
      reply(attempt.nonce, new ClaimOutcome.Unknown(failure));
      return;
    }
    attempts.stream()
        .filter(held -> held.nonce.equals(ask.nonce()))
        .forEach(
            held -> step(held, new ClaimEvent.WaitRequested(attempt.nonce, nowMs + DEADLINE_MS)));
  }

  private void reply(String waitId, ClaimOutcome outcome) {
    int copies = happens(LOST_PERCENT) ? 0 : 1 + random.nextInt(2);
    attempts.stream()
        .filter(attempt -> attempt.nonce.equals(waitId))
        .forEach(
            attempt -> {
              for (int i = 0; i < copies; i++) {
                deliver(
                    attempt.instance, () -> step(attempt, new ClaimEvent.HolderAnswered(outcome)));
              }
            });
  }
}
