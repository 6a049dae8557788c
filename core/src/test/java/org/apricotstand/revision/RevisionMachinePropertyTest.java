package org.apricotstand.revision;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotstand.model.InstanceId;

/** Several machines over a network that loses, duplicates and reorders messages. */
class RevisionMachinePropertyTest {

  private static final int STEP_MS = 50;
  private static final int FAULTY_STEPS = 200;
  // Two polls at the greatest jitter plus the slowest fetch, with a margin.
  private static final int HEALED_STEPS = 400;

  // Guards against an instance that goes back to an older revision, and against one that never
  // learns of the newest after faults have ended.
  @Property(seed = "4201", tries = 150)
  void neverGoesBackAndConverges(
      @ForAll @IntRange(min = 1, max = 9) int instances,
      @ForAll long seed,
      @ForAll @IntRange(max = 90) int lossPercent) {
    World world = new World(instances, seed);
    world.lossPercent = lossPercent;
    for (int step = 0; step < FAULTY_STEPS; step++) {
      if (world.random.nextInt(20) == 0) {
        world.applyNext();
      }
      if (world.random.nextInt(30) == 0) {
        world.platformUp = !world.platformUp;
      }
      world.step();
    }
    world.applyNext();
    world.platformUp = true;
    world.lossPercent = 0;
    world.run(HEALED_STEPS);
    assertThat(world.inForce()).containsExactlyElementsIn(world.allAtNewest());
  }

  // Guards against an instance that cannot start, or lags forever, while the platform is down.
  @Property(seed = "4202", tries = 100)
  void convergesFromPeersWhilePlatformIsDown(
      @ForAll @IntRange(min = 2, max = 9) int instances, @ForAll long seed) {
    World world = new World(instances, seed);
    world.applyNext();
    world.run(HEALED_STEPS);
    world.platformUp = false;
    world.restart(world.random.nextInt(instances));
    world.run(HEALED_STEPS);
    assertThat(world.inForce()).containsExactlyElementsIn(world.allAtNewest());
  }

  // Guards against a spread that would send a revision from every instance to every other.
  @Property(seed = "4203", tries = 20)
  void announcesToFewPeers(@ForAll long seed) {
    int instances = 60;
    World world = new World(instances, seed);
    world.applyNext();
    world.run(HEALED_STEPS);
    assertThat(world.inForce()).containsExactlyElementsIn(world.allAtNewest());
    assertThat(world.announcements).isAtMost(instances * RevisionMachine.FAN_OUT);
  }

  private record Message(int to, RevisionEvent event) {}

  private static final class World {
    final Random random;
    final List<RevisionMachine> machines = new ArrayList<>();
    final List<InstanceId> names;
    final List<Message> inFlight = new ArrayList<>();
    final List<Head> applied = new ArrayList<>();
    final Map<Integer, Long> lastInForce = new HashMap<>();
    boolean platformUp = true;
    int lossPercent;
    int announcements;
    long nowMs = 1_000_000;

    World(int instances, long seed) {
      random = new Random(seed);
      names = IntStream.range(0, instances).mapToObj(i -> new InstanceId("entry-" + i)).toList();
      for (int i = 0; i < instances; i++) {
        machines.add(null);
        restart(i);
      }
    }

    void restart(int i) {
      machines.set(i, new RevisionMachine(new Random(random.nextLong())));
      lastInForce.remove(i);
      List<InstanceId> others = names.stream().filter(name -> !name.equals(names.get(i))).toList();
      handle(i, new RevisionEvent.PeersKnown(others));
    }

    void applyNext() {
      int revision = applied.size() + 1;
      applied.add(new Head(revision, "hash-" + revision, "nonce-" + revision));
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        step();
      }
    }

    void step() {
      nowMs += STEP_MS;
      IntStream.range(0, machines.size()).forEach(i -> handle(i, new RevisionEvent.Tick()));
      int deliveries = random.nextInt(inFlight.size() + 1) + inFlight.size() / 2;
      for (int i = 0; i < deliveries && !inFlight.isEmpty(); i++) {
        Message message = inFlight.remove(random.nextInt(inFlight.size()));
        handle(message.to(), message.event());
      }
    }

    void handle(int self, RevisionEvent event) {
      for (RevisionAction action : machines.get(self).handle(event, nowMs)) {
        perform(self, action);
      }
    }

    void perform(int self, RevisionAction action) {
      switch (action) {
        case RevisionAction.ReadHead() ->
            reply(
                self,
                platformUp
                    ? new RevisionEvent.HeadRead(
                        applied.isEmpty() ? Optional.empty() : Optional.of(applied.getLast()))
                    : new RevisionEvent.HeadUnreadable());
        case RevisionAction.FetchFromStore(Head head) ->
            reply(
                self,
                platformUp
                    ? new RevisionEvent.ContentAccepted(head)
                    : new RevisionEvent.ContentMissing(head));
        case RevisionAction.AskPeer(InstanceId peer, long revision) ->
            send(peer, new RevisionEvent.Wanted(names.get(self), revision));
        case RevisionAction.Announce(InstanceId peer, Head head) -> {
          announcements++;
          send(peer, new RevisionEvent.Announced(names.get(self), head));
        }
        case RevisionAction.SendContent(InstanceId peer, Head head) ->
            send(peer, new RevisionEvent.ContentAccepted(head));
        case RevisionAction.PutInForce(Head head) -> {
          Long before = lastInForce.put(self, head.revision());
          assertThat(head.revision()).isGreaterThan(before == null ? 0 : before);
          assertThat(applied).contains(head);
        }
        case RevisionAction.Report(String code, Head head) ->
            assertThat(code).isEqualTo("head_behind");
      }
    }

    /** Replies of the platform may be delayed and lost but are not duplicated. */
    void reply(int to, RevisionEvent event) {
      if (random.nextInt(100) >= lossPercent) {
        inFlight.add(new Message(to, event));
      }
    }

    void send(InstanceId peer, RevisionEvent event) {
      int copies = random.nextInt(100) < 10 && lossPercent > 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        reply(names.indexOf(peer), event);
      }
    }

    List<Optional<Head>> inForce() {
      return machines.stream().map(RevisionMachine::inForce).toList();
    }

    List<Optional<Head>> allAtNewest() {
      return machines.stream().map(machine -> Optional.of(applied.getLast())).toList();
    }
  }
}
