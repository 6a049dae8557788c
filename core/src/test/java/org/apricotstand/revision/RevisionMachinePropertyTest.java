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

/** Runs several machines over a simulated network that loses, duplicates and reorders messages. */
class RevisionMachinePropertyTest {

  private static final int STEP_MS = 50;
  private static final int FAULTY_STEPS = 200;
  // Enough for two polls at the greatest jitter and the slowest fetch, with a margin.
  private static final int FAULTLESS_STEPS = 400;

  // Guards against an instance that reverts to an older revision, and against one that never learns
  // of the newest revision after faults have ended.
  @Property(seed = "4201", tries = 150)
  void neverRevertsAndConvergesAfterFaults(
      @ForAll @IntRange(min = 1, max = 9) int instances,
      @ForAll long seed,
      @ForAll @IntRange(max = 90) int lossPercent) {
    SimulatedCluster cluster = new SimulatedCluster(instances, seed);
    cluster.lossPercent = lossPercent;
    for (int step = 0; step < FAULTY_STEPS; step++) {
      if (cluster.random.nextInt(20) == 0) {
        cluster.applyNextRevision();
      }
      if (cluster.random.nextInt(30) == 0) {
        cluster.platformUp = !cluster.platformUp;
      }
      cluster.advanceOneStep();
    }
    cluster.applyNextRevision();
    cluster.platformUp = true;
    cluster.lossPercent = 0;
    cluster.runSteps(FAULTLESS_STEPS);
    assertThat(cluster.activeRevisions())
        .containsExactlyElementsIn(cluster.newestForEachInstance());
  }

  // Guards against an instance that stays without a revision after a restart while the platform is
  // down.
  @Property(seed = "4202", tries = 100)
  void convergesFromPeersWhilePlatformIsDown(
      @ForAll @IntRange(min = 2, max = 9) int instances, @ForAll long seed) {
    SimulatedCluster cluster = new SimulatedCluster(instances, seed);
    cluster.applyNextRevision();
    cluster.runSteps(FAULTLESS_STEPS);
    cluster.platformUp = false;
    cluster.restart(cluster.random.nextInt(instances));
    cluster.runSteps(FAULTLESS_STEPS);
    assertThat(cluster.activeRevisions())
        .containsExactlyElementsIn(cluster.newestForEachInstance());
  }

  // Guards against every instance announcing a revision to every other one.
  @Property(seed = "4203", tries = 20)
  void announcesToFewPeers(@ForAll long seed) {
    int instances = 60;
    SimulatedCluster cluster = new SimulatedCluster(instances, seed);
    cluster.applyNextRevision();
    cluster.runSteps(FAULTLESS_STEPS);
    assertThat(cluster.activeRevisions())
        .containsExactlyElementsIn(cluster.newestForEachInstance());
    assertThat(cluster.announcements).isAtMost(instances * RevisionMachine.FAN_OUT);
  }

  private record Message(int to, RevisionEvent event) {}

  private static final class SimulatedCluster {
    final Random random;
    final List<RevisionMachine> machines = new ArrayList<>();
    final List<InstanceId> names;
    final List<Message> inFlight = new ArrayList<>();
    final List<AcceptedRevision> applied = new ArrayList<>();
    final Map<Integer, Long> lastActive = new HashMap<>();
    boolean platformUp = true;
    int lossPercent;
    int announcements;
    long nowMs = 1_000_000;

    SimulatedCluster(int instances, long seed) {
      random = new Random(seed);
      names = IntStream.range(0, instances).mapToObj(i -> new InstanceId("entry-" + i)).toList();
      for (int i = 0; i < instances; i++) {
        machines.add(null);
        restart(i);
      }
    }

    void restart(int i) {
      machines.set(i, new RevisionMachine(new Random(random.nextLong())));
      lastActive.remove(i);
      List<InstanceId> others = names.stream().filter(name -> !name.equals(names.get(i))).toList();
      handle(i, new RevisionEvent.PeersUpdated(others));
    }

    void applyNextRevision() {
      int revision = applied.size() + 1;
      applied.add(new AcceptedRevision(revision, "hash-" + revision, "nonce-" + revision));
    }

    void runSteps(int steps) {
      for (int i = 0; i < steps; i++) {
        advanceOneStep();
      }
    }

    void advanceOneStep() {
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
            deliverOrLose(
                self,
                platformUp
                    ? new RevisionEvent.HeadRead(
                        applied.isEmpty() ? Optional.empty() : Optional.of(applied.getLast()))
                    : new RevisionEvent.HeadUnreadable());
        case RevisionAction.FetchFromStore(AcceptedRevision accepted) ->
            deliverOrLose(
                self,
                platformUp
                    ? new RevisionEvent.ContentVerified(accepted)
                    : new RevisionEvent.ContentMissing(accepted));
        case RevisionAction.RequestFromPeer(InstanceId peer, long revision) ->
            send(peer, new RevisionEvent.ContentRequested(names.get(self), revision));
        case RevisionAction.Announce(InstanceId peer, AcceptedRevision accepted) -> {
          announcements++;
          send(peer, new RevisionEvent.RevisionAnnounced(names.get(self), accepted));
        }
        case RevisionAction.SendContent(InstanceId peer, AcceptedRevision accepted) ->
            send(peer, new RevisionEvent.ContentVerified(accepted));
        case RevisionAction.Activate(AcceptedRevision accepted) -> {
          Long previous = lastActive.put(self, accepted.revision());
          assertThat(accepted.revision()).isGreaterThan(previous == null ? 0 : previous);
          assertThat(applied).contains(accepted);
        }
        case RevisionAction.ReportAnomaly(String code, AcceptedRevision accepted) ->
            assertThat(code).isEqualTo("head_behind");
      }
    }

    /** Delivers an event later, or loses it. Replies of the platform are not duplicated. */
    void deliverOrLose(int to, RevisionEvent event) {
      if (random.nextInt(100) >= lossPercent) {
        inFlight.add(new Message(to, event));
      }
    }

    /** Sends a message to a peer; while there are losses, a tenth of them is duplicated. */
    void send(InstanceId peer, RevisionEvent event) {
      int copies = random.nextInt(100) < 10 && lossPercent > 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        deliverOrLose(names.indexOf(peer), event);
      }
    }

    List<Optional<AcceptedRevision>> activeRevisions() {
      return machines.stream().map(RevisionMachine::active).toList();
    }

    List<Optional<AcceptedRevision>> newestForEachInstance() {
      return machines.stream().map(machine -> Optional.of(applied.getLast())).toList();
    }
  }
}
