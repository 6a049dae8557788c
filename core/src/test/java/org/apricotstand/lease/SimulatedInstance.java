package org.apricotstand.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.apricotstand.membership.Membership;
import org.apricotstand.membership.MembershipAction;
import org.apricotstand.membership.MembershipEvent;
import org.apricotstand.membership.MembershipEvent.Member;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.TargetId;

/** One instance of an {@link OwnershipWorld} with a clock of its own rate. */
final class SimulatedInstance {

  private static final String DOMAIN = "a";
  private static final long PAUSE_MS = 2_000;
  private static final long CALL_TIMEOUT_MS = 2_500;

  final InstanceId name;
  final long incarnation;
  final OwnershipWorld world;
  final SplittableRandom random;
  boolean stopped;
  private final double clockRate;
  private final long clockOffsetMs;
  private final OwnershipMachine machine;
  private final Membership membership;
  private final Map<TargetId, SimulatedOwner> owned = new HashMap<>();
  private final Map<TargetId, List<SimulatedOwner>> lost = new HashMap<>();
  private final List<Runnable> inbox = new ArrayList<>();
  private final Map<InstanceId, Long> boundUntilMs = new HashMap<>();
  private final Map<InstanceId, Long> greeted = new HashMap<>();
  private boolean paused;
  private boolean draining;
  private long lastRunMs;
  private Set<InstanceId> watched = Set.of();

  SimulatedInstance(OwnershipWorld world, InstanceId name, long incarnation) {
    this.world = world;
    this.name = name;
    this.incarnation = incarnation;
    this.random = world.random.split();
    this.clockRate = 0.95 + random.nextDouble() * 0.1;
    this.clockOffsetMs = random.nextLong(-1_000_000, 1_000_000);
    this.machine = new OwnershipMachine(name, incarnation, random.split());
    this.membership = new Membership(name, incarnation);
  }

  long clockMs() {
    return clockOffsetMs + (long) (world.nowMs * clockRate);
  }

  void start() {
    lastRunMs = clockMs();
    List<Member> members =
        world.names().stream()
            .filter(other -> !other.equals(name))
            .map(other -> new Member(other.value(), true, 0, DOMAIN, "", false))
            .toList();
    membership.handle(new MembershipEvent.Configured(members), clockMs());
    handle(new OwnershipEvent.TargetsDeclared(world.engines.keySet(), 5_000));
    tickLater();
  }

  private void tickLater() {
    world.after(
        OwnershipWorld.TICK_MS,
        () -> {
          if (!stopped) {
            run(this::tick);
            tickLater();
          }
        });
  }

  /** Runs a task as the control thread does: later when paused, and after the watchdog. */
  void run(Runnable task) {
    if (stopped) {
      return;
    }
    if (paused) {
      inbox.add(task);
      return;
    }
    long gapMs = clockMs() - lastRunMs;
    lastRunMs = clockMs();
    if (gapMs >= PAUSE_MS) {
      handle(new OwnershipEvent.PauseDetected(gapMs));
    }
    task.run();
  }

  void pause(long forMs) {
    if (paused || stopped) {
      return;
    }
    world.trace("pause " + this + " for " + forMs);
    paused = true;
    world.after(forMs, this::resume);
  }

  private void resume() {
    paused = false;
    List<Runnable> waiting = List.copyOf(inbox);
    inbox.clear();
    waiting.forEach(this::run);
  }

  void kill() {
    world.trace("kill " + this);
    stopped = true;
    owned.values().forEach(SimulatedOwner::abort);
    lost.values().forEach(owners -> owners.forEach(SimulatedOwner::abort));
  }

  /** Ends a pause, and replaces an instance that is leaving. */
  void heal() {
    if (paused) {
      resume();
    }
    if (draining) {
      kill();
    }
  }

  void drain() {
    if (!stopped && !paused && !draining) {
      world.trace("drain " + this);
      draining = true;
      run(() -> handle(new OwnershipEvent.DrainStarted()));
    }
  }

  private void tick() {
    Set<InstanceId> neighbours = machine.neighbours();
    if (!neighbours.equals(watched)) {
      watched = new TreeSet<>(neighbours);
      membership.handle(new MembershipEvent.Watched(watched), clockMs());
    }
    for (MembershipAction action : membership.handle(new MembershipEvent.Tick(), clockMs())) {
      if (action instanceof MembershipAction.SendHeartbeat beat) {
        send(
            beat.to(),
            to ->
                to.membership.handle(
                    new MembershipEvent.HeartbeatReceived(
                        name, draining, beat.sequence(), beat.echoed()),
                    to.clockMs()));
      }
    }
    handle(
        new OwnershipEvent.InstancesSeen(
            membership.instances(DOMAIN), membership.live(DOMAIN, clockMs())));
    owned.values().forEach(SimulatedOwner::tick);
    for (TargetId target : List.copyOf(lost.keySet())) {
      List<SimulatedOwner> former = lost.get(target);
      former.forEach(SimulatedOwner::tick);
      former.removeIf(SimulatedOwner::isIdle);
      if (former.isEmpty()) {
        lost.remove(target);
        handle(new OwnershipEvent.RequestsEnded(target));
      }
    }
    handle(new OwnershipEvent.Tick());
    if (draining && owned.isEmpty() && lost.isEmpty()) {
      handle(new OwnershipEvent.DrainEnded());
    }
  }

  private void send(InstanceId to, java.util.function.Consumer<SimulatedInstance> receive) {
    world.deliver(
        name.value(),
        to.value(),
        () ->
            world
                .instance(to)
                .ifPresent(
                    receiver ->
                        receiver.run(
                            () -> {
                              if (receiver.greet(this)) {
                                receive.accept(receiver);
                              }
                            })));
  }

  /** Returns whether the sender is the newest process of its name that was seen. */
  private boolean greet(SimulatedInstance from) {
    long newest = greeted.merge(from.name, from.incarnation, Math::max);
    if (from.incarnation == newest) {
      membership.handle(
          new MembershipEvent.Greeted(from.name, from.incarnation, DOMAIN), clockMs());
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
          call(write.call(), true, () -> answer(write.call(), world.store.write(write)));
      case OwnershipAction.WriteOwner write -> {
        world.taking(this, write);
        call(write.call(), true, () -> answer(write.call(), world.store.write(write)));
      }
      case OwnershipAction.ReadLease read ->
          call(
              read.call(),
              false,
              () -> new OwnershipEvent.LeaseRead(read.call(), world.store.lease(read.holder())));
      case OwnershipAction.ReadOwner read ->
          call(
              read.call(),
              false,
              () -> new OwnershipEvent.OwnerRead(read.call(), world.store.owner(read.target())));
      case OwnershipAction.AskPromise ask ->
          send(
              ask.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.PromiseAsked(name, incarnation, ask.term(), ask.round())));
      case OwnershipAction.AnswerPromise answer -> {
        if (answer.granted()) {
          boundUntilMs.put(answer.to(), clockMs() + LeaseTimes.PROMISE_KEEP_MS);
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
      case OwnershipAction.ConfirmHandover taken ->
          send(
              taken.to(),
              to ->
                  to.handle(
                      new OwnershipEvent.HandoverTaken(name, taken.target(), taken.fencing())));
      case OwnershipAction.FinishHandover done ->
          send(
              done.to(),
              to ->
                  to.handle(new OwnershipEvent.HandoverDone(name, done.target(), done.fencing())));
      default -> change(action);
    }
  }

  private void change(OwnershipAction action) {
    switch (action) {
      case OwnershipAction.Gained gained -> {
        world.trace(this + " gained " + gained);
        owned.put(gained.target(), new SimulatedOwner(this, gained));
      }
      case OwnershipAction.QuarantineEnded ended -> {
        world.trace(this + " " + ended);
        owned.get(ended.target()).quarantineEnded();
      }
      case OwnershipAction.Lost loss -> {
        world.trace(this + " " + loss);
        SimulatedOwner owner = owned.remove(loss.target());
        owner.lost();
        lost.computeIfAbsent(loss.target(), key -> new ArrayList<>()).add(owner);
      }
      default -> throw new IllegalStateException(action.toString());
    }
  }

  private static OwnershipEvent answer(long call, Optional<List<Long>> versions) {
    return versions
        .<OwnershipEvent>map(written -> new OwnershipEvent.Committed(call, written))
        .orElse(new OwnershipEvent.Conflicted(call));
  }

  /** Calls the store; a call without an answer fails after its time, whatever it did. */
  private void call(long call, boolean write, java.util.function.Supplier<OwnershipEvent> effect) {
    world.after(
        CALL_TIMEOUT_MS, () -> run(() -> handle(new OwnershipEvent.CallFailed(call, write))));
    world.deliver(
        name.value(),
        "store",
        () -> {
          OwnershipEvent result = effect.get();
          world.deliver("store", name.value(), () -> run(() -> handle(result)));
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

  boolean isBoundTo(InstanceId holder) {
    return boundUntilMs.getOrDefault(holder, Long.MIN_VALUE) > clockMs();
  }

  @Override
  public String toString() {
    return name + "#" + incarnation;
  }
}
