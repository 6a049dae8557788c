package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.overlay.ReadDuty;
import org.apricotstand.peer.FleetState;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the exchange of whole fleets in simulated time. */
class FleetExchangeTest {

  private static final long START_MS = 5_000;
  private static final int SIMULATIONS = Integer.getInteger("apricotstand.fleets", 15);

  private static SimulatedFleet startedFleet(int size, int domains, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(size, domains, seed);
    fleet.run(START_MS);
    return fleet;
  }

  private static Set<String> namesOf(List<SimulatedFleet.Instance> instances) {
    return instances.stream().map(instance -> instance.identity.name()).collect(Collectors.toSet());
  }

  private static void assertAllKnowTheRunning(SimulatedFleet fleet, String situation) {
    Set<String> running = namesOf(fleet.running());
    for (SimulatedFleet.Instance instance : fleet.running()) {
      String name = instance.identity.name();
      Set<String> known = new HashSet<>(instance.exchange.liveInstances());
      known.add(name);
      assertWithMessage("%s: instances alive as known to %s", situation, name)
          .that(known)
          .isEqualTo(running);
    }
  }

  private static void assertHoldingsAreCurrent(SimulatedFleet fleet, String situation) {
    for (SimulatedFleet.Instance owner : fleet.running()) {
      String engine = owner.identity.name();
      for (SimulatedFleet.Instance instance : fleet.running()) {
        assertWithMessage(
                "%s: holdings of %s as known to %s", situation, engine, instance.identity.name())
            .that(instance.holdings.get(engine))
            .isEqualTo(owner.holdings.get(engine));
      }
    }
  }

  // Guards against instances that do not find each other after a common start, at any size.
  @ParameterizedTest
  @ValueSource(ints = {2, 5, 16, 17, 95, 200})
  void allInstancesKnowEachOtherSoonAfterACommonStart(int size) {
    SimulatedFleet fleet = startedFleet(size, Math.min(size, 5), 1);
    assertAllKnowTheRunning(fleet, "after the start");
    assertHoldingsAreCurrent(fleet, "after the start");
  }

  // Guards against control traffic that grows with the square of the number of instances: an
  // instance may send and receive at most 1.5 times as much at 300 instances as at 30.
  @Test
  void messagesOfAnInstanceStayBoundedAsTheFleetGrows() {
    assertThat(messagesPerInstance(300)).isAtMost(1.5 * messagesPerInstance(30));
  }

  private static double messagesPerInstance(int size) {
    SimulatedFleet fleet = startedFleet(size, 3, 2);
    long before = fleet.totalMessages();
    fleet.run(10_000);
    return (double) (fleet.totalMessages() - before) / size;
  }

  // Guards against instances that load adapters again which another engine has had for long.
  @Test
  void aChangeOfHoldingsReachesALargeFleetWithinASecond() {
    SimulatedFleet fleet = startedFleet(95, 5, 3);
    fleet.get("n7").publishHoldings();
    fleet.run(1_000);
    assertHoldingsAreCurrent(fleet, "after a change");
  }

  // Guards against requests that wait although their adapter was loaded long ago.
  @Test
  void anInstanceThatAskedForALoadIsToldAtOnce() {
    SimulatedFleet fleet = startedFleet(95, 5, 3);
    SimulatedFleet.Instance owner = fleet.get("n7");
    owner.exchange.recordInterest("n7", "n90");
    owner.publishHoldings();
    fleet.run(20);
    assertThat(fleet.get("n90").holdings.get("n7")).isEqualTo(owner.holdings.get("n7"));
  }

  // Guards against a request that crashes one target after the other through several instances.
  @Test
  void aCrashReachesAllInstances() {
    SimulatedFleet fleet = startedFleet(95, 5, 4);
    fleet.get("n7").exchange.publishCrash(new FleetState.TargetCrash("e#1", Map.of("prompt/f", 1)));
    fleet.run(1_000);
    fleet.all().stream()
        .filter(instance -> !instance.identity.name().equals("n7"))
        .forEach(instance -> assertThat(instance.crashes).hasSize(1));
  }

  // Guards against a trait that other instances go on refusing although it was answered.
  @Test
  void anAnswerThatClearsATraitReachesAllInstances() {
    SimulatedFleet fleet = startedFleet(95, 5, 4);
    fleet.get("n7").exchange.publishAnswer(new FleetState.TraitAnswered("prompt/f"));
    fleet.run(1_000);
    fleet.all().stream()
        .filter(instance -> !instance.identity.name().equals("n7"))
        .forEach(instance -> assertThat(instance.answers).hasSize(1));
  }

  // Guards against crashes of long ago that a restarted instance takes for new ones.
  @Test
  void anOldCrashIsNotPassedOn() {
    SimulatedFleet fleet = startedFleet(20, 2, 15);
    fleet.get("n7").exchange.publishCrash(new FleetState.TargetCrash("e#1", Map.of("prompt/f", 1)));
    fleet.run(70_000);
    assertThat(restarted(fleet, "n8").crashes).isEmpty();
  }

  // Guards against an instance that starts later and crashes targets with what all others refuse.
  @Test
  void aRestartedInstanceLearnsWhatIsRefused() {
    SimulatedFleet fleet = startedFleet(20, 2, 15);
    FleetState.TraitRefused refusal = new FleetState.TraitRefused("prompt/f", 120_000);
    fleet.all().forEach(instance -> instance.exchange.publishRefusal(refusal));
    fleet.run(70_000);
    List<FleetState.TraitRefused> learnt = restarted(fleet, "n8").refusals;
    assertThat(learnt.stream().map(FleetState.TraitRefused::trait).distinct())
        .containsExactly("prompt/f");
    // As long as the others go on, less the time until the instance has learnt of it.
    assertThat(learnt.getLast().remainingMs()).isAtLeast(120_000L - 70_000L - 5_000L);
  }

  // Guards against a refusal that never ends, because each instance that starts while it lasts
  // learns of it as if it had just begun, and passes it on to those that start after it.
  @Test
  void aRestartedInstanceRefusesNoLongerThanTheOthers() {
    SimulatedFleet fleet = startedFleet(20, 2, 15);
    FleetState.TraitRefused refusal = new FleetState.TraitRefused("prompt/f", 120_000);
    fleet.all().forEach(instance -> instance.exchange.publishRefusal(refusal));
    fleet.run(70_000);
    List<Long> remainingMs =
        restarted(fleet, "n8").refusals.stream().map(FleetState.TraitRefused::remainingMs).toList();
    assertThat(remainingMs).isNotEmpty();
    assertThat(Collections.max(remainingMs)).isAtMost(120_000L - 70_000L);
  }

  /** Restarts an instance, waits until it is part of the fleet, and returns what it has learnt. */
  private static SimulatedFleet.Instance restarted(SimulatedFleet fleet, String name) {
    SimulatedFleet.Instance instance = fleet.get(name);
    instance.crashes.clear();
    instance.refusals.clear();
    fleet.restart(instance);
    fleet.run(5_000);
    return instance;
  }

  // Guards against a restarted instance that refuses what others have seen answered since.
  @Test
  void aRefusalThatAnAnswerEndedIsNotPassedOn() {
    SimulatedFleet fleet = startedFleet(20, 2, 15);
    FleetState.TraitRefused refusal = new FleetState.TraitRefused("prompt/f", 120_000);
    fleet.all().forEach(instance -> instance.exchange.publishRefusal(refusal));
    fleet.run(5_000);
    fleet.get("n7").exchange.publishAnswer(new FleetState.TraitAnswered("prompt/f"));
    fleet.run(5_000);
    assertThat(restarted(fleet, "n8").refusals).isEmpty();
  }

  // Guards against members that are taken for dead together with their relay.
  @Test
  void onlyTheRelayIsLostWhenARelayIsKilled() {
    SimulatedFleet fleet = startedFleet(95, 5, 5);
    SimulatedFleet.Instance relay = fleet.someRelay();
    fleet.kill(relay);
    fleet.run(6_000);
    assertAllKnowTheRunning(fleet, "after the death of a relay");
    fleet
        .running()
        .forEach(
            instance ->
                assertWithMessage("silent for %s", instance.identity.name())
                    .that(instance.silentInstances)
                    .containsExactly(relay.identity.name()));
  }

  // Guards against a fleet that stays split after its relay was suspended.
  @Test
  void aSuspendedRelayIsReplacedAndComesBack() {
    SimulatedFleet fleet = startedFleet(95, 5, 6);
    SimulatedFleet.Instance relay = fleet.someRelay();
    fleet.suspend(relay, 8_000);
    fleet.run(4_000);
    fleet.get("n3").publishHoldings();
    fleet.run(1_000);
    for (SimulatedFleet.Instance instance : fleet.running()) {
      if (instance != relay) {
        assertThat(instance.holdings.get("n3")).isEqualTo(fleet.get("n3").holdings.get("n3"));
      }
    }
    fleet.run(8_000);
    assertAllKnowTheRunning(fleet, "after the end of the suspension");
    assertHoldingsAreCurrent(fleet, "after the end of the suspension");
  }

  // Guards against slow instances that are called dead, whose engines are then without an owner.
  @Test
  void noInstanceIsTakenForDeadWhileEveryThirdIsSlow() {
    SimulatedFleet fleet = startedFleet(95, 5, 7);
    fleet.all().stream()
        .filter(instance -> Integer.parseInt(instance.identity.name().substring(1)) % 3 == 0)
        .forEach(instance -> instance.slownessMs = 300);
    fleet.run(20_000);
    fleet.all().forEach(instance -> assertThat(instance.silentInstances).isEmpty());
  }

  // Guards against a failure domain that does not serve alone, or does not come back.
  @Test
  void aDomainThatIsCutOffKnowsItselfAndComesBack() {
    SimulatedFleet fleet = startedFleet(95, 5, 8);
    fleet.cut("d0");
    fleet.run(5_000);
    Set<String> inside = namesOf(fleet.where(i -> i.identity.domain().equals("d0")));
    Set<String> outside = namesOf(fleet.where(i -> !i.identity.domain().equals("d0")));
    fleet
        .all()
        .forEach(
            instance -> {
              boolean isInside = inside.contains(instance.identity.name());
              Set<String> expected = new HashSet<>(isInside ? inside : outside);
              expected.remove(instance.identity.name());
              assertThat(instance.exchange.liveInstances()).isEqualTo(expected);
            });
    fleet.heal();
    fleet.run(6_000);
    assertAllKnowTheRunning(fleet, "after the partition");
    assertHoldingsAreCurrent(fleet, "after the partition");
  }

  // Guards against a load at a target that counts the requests of this instance twice.
  @ParameterizedTest
  @ValueSource(ints = {4, 40})
  void theLoadOfTheOthersIsTheSumWithoutTheOwn(int size) {
    SimulatedFleet fleet = startedFleet(size, 2, 9);
    fleet.all().forEach(instance -> instance.addLoad("t1", 2));
    fleet.run(3_000);
    fleet
        .all()
        .forEach(
            instance ->
                assertThat(instance.exchange.peerLoads())
                    .containsExactly("t1", new TargetLoad(0, 2 * (size - 1))));
  }

  // Guards against answers that are lost on their way through the relays, or counted twice, so that
  // instances disagree on which target is slow.
  @Test
  void allInstancesLearnOfASlowTarget() {
    SimulatedFleet fleet = startedFleet(40, 2, 9);
    List<TargetEntry> targets =
        Stream.of("t1", "t2")
            .map(id -> new TargetEntry(id, "s", "10.0.0.1", 80, "d0", 6, false, 0, Map.of()))
            .toList();
    fleet.all().forEach(instance -> instance.exchange.speeds().setTargets(targets));
    for (int i = 0; i < 12; i++) {
      fleet
          .all()
          .forEach(
              instance -> {
                instance.load.recordAnswerTime("t1", 60);
                instance.load.recordAnswerTime("t2", 30);
              });
      fleet.run(500);
    }
    fleet
        .all()
        .forEach(
            instance -> {
              long nowMs = fleet.nowMs();
              assertThat(instance.exchange.speeds().slowness("t1", nowMs))
                  .isWithin(0.1)
                  .of(4.0 / 3);
              assertThat(instance.exchange.speeds().slowness("t2", nowMs))
                  .isWithin(0.1)
                  .of(2.0 / 3);
            });
  }

  // Guards against a choice of targets for old figures in fleets whose figures are fresh, and the
  // other way round.
  @ParameterizedTest
  @ValueSource(ints = {16, 17})
  void figuresComeThroughRelaysOnlyInLargeFleets(int size) {
    SimulatedFleet fleet = startedFleet(size, 2, 9);
    fleet
        .all()
        .forEach(instance -> assertThat(instance.exchange.usesRelays()).isEqualTo(size > 16));
  }

  // Guards against the eviction of an adapter that an instance behind another relay uses.
  @Test
  void theOwnerOfAnEngineLearnsWhichAdaptersAreInUse() {
    SimulatedFleet fleet = startedFleet(95, 5, 10);
    fleet.get("n11").addLoad("n42", 1);
    fleet.run(fleet.get("n42").exchange.usageReportLagMs());
    assertThat(fleet.get("n42").adaptersInUse.values()).contains(Map.of("n42", List.of("m/a1")));
  }

  private static List<SimulatedFleet.Instance> readersOf(SimulatedFleet fleet) {
    return fleet.where(
        instance -> instance.running && instance.exchange.tables().mustRead(SimulatedFleet.TABLE));
  }

  private static void shareRow(SimulatedFleet fleet, String key, long version) {
    RowChange change =
        new RowChange(new Row(key, new byte[] {1}, StoreVersion.withoutEra(version)), false);
    for (SimulatedFleet.Instance reader : readersOf(fleet)) {
      reader.onShared(List.of(change));
      reader
          .exchange
          .tables()
          .share(
              SimulatedFleet.TABLE,
              List.of(change),
              StoreVersion.NONE,
              StoreVersion.withoutEra(version));
    }
  }

  // Guards against calls to the store that grow with the number of instances.
  @Test
  void onlyOneInstanceOfEachDomainReadsWhatItSharesWithTheOthers() {
    SimulatedFleet fleet = startedFleet(95, 5, 11);
    shareRow(fleet, "k1", 7);
    fleet.run(200);
    assertThat(readersOf(fleet)).hasSize(5);
    List<SimulatedFleet.Instance> told =
        fleet.where(instance -> instance.tableVersion.number() == 7);
    assertThat(told.size()).isAtLeast(90);
    told.forEach(instance -> assertThat(instance.rows).containsKey("k1"));
  }

  // Guards against members that learn of no change after their reader died or lost the store.
  @Test
  void membersReadThemselvesWhenTheirReaderTellsNothing() {
    SimulatedFleet fleet = startedFleet(95, 5, 12);
    shareRow(fleet, "k1", 7);
    fleet.run(200);
    fleet.run(SimulatedFleet.READ_PERIOD_MS + ReadDuty.NEWS_DELAY_MS + ReadDuty.MAX_STAGGER_MS);
    assertThat(readersOf(fleet)).hasSize(95);
  }

  // Guards against a member that misses the changes between its own last read and those that its
  // relay passed on.
  @Test
  void aMemberThatIsBehindGoesOnReading() {
    SimulatedFleet fleet = startedFleet(95, 5, 13);
    readersOf(fleet)
        .forEach(
            reader ->
                reader
                    .exchange
                    .tables()
                    .share(
                        SimulatedFleet.TABLE,
                        List.of(),
                        StoreVersion.withoutEra(5),
                        StoreVersion.withoutEra(7)));
    fleet.run(200);
    assertThat(readersOf(fleet)).hasSize(95);
  }

  // Guards against targets that members drop, because they missed that the store was away.
  @Test
  void membersLearnThatTheStoreIsBack() {
    SimulatedFleet fleet = startedFleet(95, 5, 14);
    SimulatedFleet.Instance relay = fleet.someRelay();
    relay.exchange.tables().shareRecovery(SimulatedFleet.TABLE);
    fleet.run(100);
    assertThat(fleet.where(instance -> instance.recoveries == 1)).hasSize(18);
  }

  // Guards against state that stays old or an instance that stays lost after any mix of faults.
  @Test
  void afterAnyFaultsTheFleetAgreesAgain() {
    LongStream.rangeClosed(1, SIMULATIONS).forEach(FleetExchangeTest::assertRecoversFromFaults);
  }

  private static void assertRecoversFromFaults(long seed) {
    Random random = new Random(seed);
    SimulatedFleet fleet = startedFleet(5 + random.nextInt(60), 1 + random.nextInt(5), seed);
    for (int fault = 0; fault < 12; fault++) {
      List<SimulatedFleet.Instance> running = fleet.running();
      SimulatedFleet.Instance any = running.get(random.nextInt(running.size()));
      switch (random.nextInt(6)) {
        case 0 -> fleet.restart(any);
        case 1 -> fleet.restart(fleet.someRelay());
        case 2 -> fleet.suspend(any, random.nextInt(8_000));
        case 3 -> fleet.suspend(fleet.someRelay(), random.nextInt(8_000));
        case 4 -> fleet.cut("d" + random.nextInt(5));
        default -> fleet.heal();
      }
      any = fleet.running().get(random.nextInt(fleet.running().size()));
      any.publishHoldings();
      fleet.run(random.nextInt(3_000));
    }
    fleet.heal();
    fleet.run(20_000);
    assertAllKnowTheRunning(fleet, "seed " + seed);
    assertHoldingsAreCurrent(fleet, "seed " + seed);
  }
}
