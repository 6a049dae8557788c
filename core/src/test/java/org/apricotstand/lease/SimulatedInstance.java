package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.apricotstand.lease.OwnershipEvent.LeaseRead;
import org.apricotstand.lease.OwnershipEvent.OwnerRead;
import org.apricotstand.membership.Membership;
import org.apricotstand.membership.MembershipAction;
import org.apricotstand.membership.MembershipEvent;
import org.apricotstand.membership.MembershipEvent.Member;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** An instance of an {@link OwnershipSimulation}, with a clock that runs at its own rate. */
final class SimulatedInstance {

  private static final String DOMAIN = "a";
  private static final long PAUSE_DETECTION_MS = 2_000;
  private static final long CALL_TIMEOUT_MS = 2_500;

  final InstanceId name;
  final long incarnation;
  final OwnershipSimulation simulation;
  final SplittableRandom random;
  boolean stopped;
  private final double clockRate;
  private final long clockOffsetMs;
  private final OwnershipMachine machine;
  private final Membership membership;
  private final Map<TargetId, SimulatedOwner> ownedTargets = new HashMap<>();

  /** Owner sides of lost targets that still have requests. */
  private final Map<TargetId, List<SimulatedOwner>> lostTargets = new HashMap<>();

  private final List<Runnable> tasksWhilePaused = new ArrayList<>();

  /** End of the promise granted to each instance, kept apart from the machine to check it. */
  private final Map<InstanceId, Long> promisedUntilMs = new HashMap<>();

  private final Map<InstanceId, Long> newestIncarnations = new HashMap<>();
  private boolean paused;
  private boolean draining;
  private long lastRunMs;
  private Set<InstanceId> monitoredPeers = Set.of();

  SimulatedInstance(OwnershipSimulation simulation, InstanceId name, long incarnation) {
    this.simulation = simulation;
    this.name = name;
    this.incarnation = incarnation;
    this.random = simulation.random.split();
    this.clockRate = 0.95 + random.nextDouble() * 0.1;
    this.clockOffsetMs = random.nextLong(-1_000_000, 1_000_000);
    this.machine = new OwnershipMachine(name, incarnation, random.split());
    this.membership = new Membership(name, incarnation);
  }

  long clockMs() {
    return clockOffsetMs + (long) (simulation.nowMs * clockRate);
  }

  void start() {
    lastRunMs = clockMs();
    List<Member> members =
        simulation.instanceNames().stream()
            .filter(other -> !other.equals(name))
            .map(other -> new Member(other.value(), true, 0, DOMAIN, "", false))
            .toList();
    membership.handle(new MembershipEvent.InstancesConfigured(members), clockMs());
    handle(new OwnershipEvent.TargetsDeclared(simulation.engines.keySet(), 5_000));
    scheduleTick();
  }

  private void scheduleTick() {
    simulation.schedule(
        OwnershipSimulation.TICK_INTERVAL_MS,
        () -> {
          if (!stopped) {
            run(this::tick);
            scheduleTick();
          }
        });
  }

  /**
   * Runs a task as the control thread does: after the pause when the instance is paused, and after
   * the pause watchdog has reported the gap.
   */
  void run(Runnable task) {
    if (stopped) {
      return;
    }
    if (paused) {
      tasksWhilePaused.add(task);
      return;
    }
    long gapMs = clockMs() - lastRunMs;
    lastRunMs = clockMs();
    if (gapMs >= PAUSE_DETECTION_MS) {
      handle(new OwnershipEvent.ProcessPaused(gapMs));
    }
    task.run();
  }

  void pause(long forMs) {
    if (paused || stopped) {
      return;
    }
    simulation.trace("pause " + this + " for " + forMs);
    paused = true;
    simulation.schedule(forMs, this::resume);
  }

  private void resume() {
    paused = false;
    List<Runnable> delayed = List.copyOf(tasksWhilePaused);
    tasksWhilePaused.clear();
    delayed.forEach(this::run);
  }

  void kill() {
    simulation.trace("kill " + this);
    stopped = true;
    ownedTargets.values().forEach(SimulatedOwner::closeConnections);
    lostTargets.values().forEach(owners -> owners.forEach(SimulatedOwner::closeConnections));
  }

  /** Ends a pause; stops an instance that is draining, so that it can be started again. */
  void recover() {
    if (paused) {
      resume();
    }
    if (draining) {
      kill();
    }
  }

  void drain() {
    if (!stopped && !paused && !draining) {
      simulation.trace("drain " + this);
      draining = true;
      run(() -> handle(new OwnershipEvent.DrainStarted()));
    }
  }

  private void tick() {
    Set<InstanceId> candidatePeers = machine.candidatePeers();
    if (!candidatePeers.equals(monitoredPeers)) {
      monitoredPeers = new TreeSet<>(candidatePeers);
      membership.handle(new MembershipEvent.MonitoredPeersChanged(monitoredPeers), clockMs());
    }
    for (MembershipAction action : membership.handle(new MembershipEvent.Tick(), clockMs())) {
      if (action instanceof MembershipAction.SendHeartbeat heartbeat) {
        send(
            heartbeat.to(),
            to ->
                to.membership.handle(
                    new MembershipEvent.HeartbeatReceived(
                        name, draining, heartbeat.sequence(), heartbeat.echoed()),
                    to.clockMs()));
      }
    }
    handle(
        new OwnershipEvent.InstancesUpdated(
            membership.instances(DOMAIN), membership.liveInstances(DOMAIN, clockMs())));
    ownedTargets.values().forEach(SimulatedOwner::tick);
    for (TargetId target : List.copyOf(lostTargets.keySet())) {
      List<SimulatedOwner> formerOwners = lostTargets.get(target);
      formerOwners.forEach(SimulatedOwner::tick);
      formerOwners.removeIf(SimulatedOwner::isIdle);
      if (formerOwners.isEmpty()) {
        lostTargets.remove(target);
        handle(new OwnershipEvent.RequestsEnded(target));
      }
    }
    handle(new OwnershipEvent.Tick());
    if (draining && ownedTargets.isEmpty() && lostTargets.isEmpty()) {
      handle(new OwnershipEvent.DrainEnded());
    }
  }

  private void send(InstanceId to, java.util.function.Consumer<SimulatedInstance> receive) {
    simulation.deliver(
        name.value(),
        to.value(),
        () ->
            simulation
                .runningInstance(to)
                .ifPresent(
                    receiver ->
                        receiver.run(
                            () -> {
                              if (receiver.acceptsFrom(this)) {
                                receive.accept(receiver);
                              }
                            })));
  }

  /** Reports the sender to the membership; returns whether it is its name's newest process. */
  private boolean acceptsFrom(SimulatedInstance from) {
    long newest = newestIncarnations.merge(from.name, from.incarnation, Math::max);
    if (from.incarnation == newest) {
      membership.handle(
          new MembershipEvent.HelloReceived(from.name, from.incarnation, DOMAIN), clockMs());
    }
    return from.incarnation == newest;
  }

  void handle(OwnershipEvent event) {
    for (OwnershipAction action : machine.handle(event, clockMs())) {
      perform(action);
    }
  }

  private void perform(OwnershipAction action) {
    switch (action) {
      case OwnershipAction.WriteLease write ->
          callStore(
              write.callId(),
              true,
              () -> writeResult(write.callId(), simulation.store.write(write)));
      case OwnershipAction.WriteOwner write -> {
        simulation.checkTakeover(this, write);
        callStore(
            write.callId(), true, () -> writeResult(write.callId(), simulation.store.write(write)));
      }
      case OwnershipAction.ReadLease read ->
          callStore(
              read.callId(),
              false,
              () -> new LeaseRead(read.callId(), simulation.store.lease(read.holder())));
      case OwnershipAction.ReadOwner read ->
          callStore(
              read.callId(),
              false,
              () -> new OwnerRead(read.callId(), simulation.store.owner(read.target())));
      case OwnershipAction.RequestPromise request ->
          send(
              request.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.PromiseRequested(
                          name, incarnation, request.term(), request.round())));
      case OwnershipAction.AnswerPromise answer -> {
        if (answer.granted()) {
          promisedUntilMs.put(answer.to(), clockMs() + LeaseTimes.PROMISE_BINDING_MS);
        }
        send(
            answer.to(),
            to ->
                to.handle(
                    new OwnershipEvent.PromiseAnswered(name, answer.round(), answer.granted())));
      }
      case OwnershipAction.OfferHandover offer ->
          send(
              offer.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.HandoverOffered(name, offer.target(), offer.fencing())));
      case OwnershipAction.ConfirmHandover confirm ->
          send(
              confirm.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.HandoverTaken(name, confirm.target(), confirm.fencing())));
      case OwnershipAction.FinishHandover finish ->
          send(
              finish.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.HandoverDone(name, finish.target(), finish.fencing())));
      default -> performOwnershipChange(action);
    }
  }

  private void performOwnershipChange(OwnershipAction action) {
    switch (action) {
      case OwnershipAction.OwnershipGained gained -> {
        simulation.trace(this + " gained " + gained);
        ownedTargets.put(gained.target(), new SimulatedOwner(this, gained));
      }
      case OwnershipAction.QuarantineEnded ended -> {
        simulation.trace(this + " " + ended);
        ownedTargets.get(ended.target()).onQuarantineEnded();
      }
      case OwnershipAction.OwnershipLost loss -> {
        simulation.trace(this + " " + loss);
        SimulatedOwner owner = ownedTargets.remove(loss.target());
        owner.onOwnershipLost();
        lostTargets.computeIfAbsent(loss.target(), key -> new ArrayList<>()).add(owner);
      }
      default -> throw new IllegalStateException(action.toString());
    }
  }

  private static OwnershipEvent writeResult(long callId, Optional<List<Long>> versions) {
    return versions
        .<OwnershipEvent>map(written -> new OwnershipEvent.Committed(callId, written))
        .orElse(new OwnershipEvent.Conflicted(callId));
  }

  /** Calls the store. A call without an answer fails after its timeout, whether or not it ran. */
  private void callStore(
      long callId, boolean isWrite, java.util.function.Supplier<OwnershipEvent> effect) {
    simulation.schedule(
        CALL_TIMEOUT_MS, () -> run(() -> handle(new OwnershipEvent.CallFailed(callId, isWrite))));
    simulation.deliver(
        name.value(),
        "store",
        () -> {
          OwnershipEvent result = effect.get();
          simulation.deliver("store", name.value(), () -> run(() -> handle(result)));
        });
  }

  Optional<Rights> rightsOf(TargetId target) {
    return Optional.ofNullable(machine.rights().get(target));
  }

  boolean mayCommand(TargetId target) {
    return rightsOf(target).filter(r -> clockMs() < r.commandUntilMs()).isPresent();
  }

  boolean mayDispatch(TargetId target) {
    return rightsOf(target).filter(r -> clockMs() < r.dispatchUntilMs()).isPresent();
  }

  /** Returns whether a promise to the holder is still binding. */
  boolean isBoundTo(InstanceId holder) {
    return promisedUntilMs.getOrDefault(holder, Long.MIN_VALUE) > clockMs();
  }

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
