package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.tenant.ConfigurationFreshness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs fleets whose relays read the configuration for their members, in simulated time. */
class ConfigurationWatchTest {

  private static final StoreVersion ROW_VERSION = StoreVersion.withoutEra(7);
  private static final StoreVersion NEXT_ROW_VERSION = StoreVersion.withoutEra(8);
  private static final long READ_WAIT_MS = 500;
  private static final int DOMAINS = 4;

  private static SimulatedFleet startedFleet(long seed) {
    SimulatedFleet fleet = new SimulatedFleet(60, DOMAINS, seed);
    fleet.run(5_000);
    fleet.all().forEach(instance -> instance.exchange.configurationWatch().setAsking(true));
    fleet.all().forEach(instance -> freshness(instance).recordRow(ROW_VERSION));
    return fleet;
  }

  private static ConfigurationFreshness freshness(SimulatedFleet.Instance instance) {
    return instance.exchange.configurationWatch().freshness();
  }

  private static List<SimulatedFleet.Instance> relaysOf(SimulatedFleet fleet) {
    return fleet.where(instance -> instance.exchange.tables().mustRead(SimulatedFleet.TABLE));
  }

  /** Lets the relays read for a time; each read confirms the time at which it was sent. */
  private static void read(SimulatedFleet fleet, long durationMs) {
    for (long ranMs = 0; ranMs < durationMs; ranMs += READ_WAIT_MS) {
      long sentMs = fleet.nowMs();
      fleet.run(READ_WAIT_MS);
      for (SimulatedFleet.Instance relay : relaysOf(fleet)) {
        freshness(relay).recordRead(sentMs);
        relay
            .exchange
            .tables()
            .share(SimulatedFleet.TABLE, List.of(), StoreVersion.NONE, ROW_VERSION);
      }
    }
  }

  // Guards against members that refuse requests although their relay reads the store.
  @Test
  void membersStayFreshWhileOnlyRelaysRead() {
    SimulatedFleet fleet = startedFleet(21);
    read(fleet, 4_000);
    for (int step = 0; step < 10; step++) {
      read(fleet, READ_WAIT_MS);
      assertThat(relaysOf(fleet)).hasSize(DOMAINS);
      for (SimulatedFleet.Instance instance : fleet.all()) {
        assertWithMessage("age at %s", instance.identity.name())
            .that(fleet.nowMs() - freshness(instance).confirmedMs())
            .isAtMost(2 * READ_WAIT_MS + 700);
      }
    }
  }

  // Guards against an instance that takes its configuration for newer than the last read of the
  // store that returned, because relays, processes or links were slow, suspended or lost.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void nobodyIsFresherThanTheLastReadOfTheStore(long seed) {
    Random random = new Random(seed);
    SimulatedFleet fleet = startedFleet(seed);
    read(fleet, 2_000);
    List<SimulatedFleet.Instance> instances = fleet.all();
    for (int fault = 0; fault < 6; fault++) {
      SimulatedFleet.Instance victim =
          random.nextBoolean()
              ? fleet.someRelay()
              : instances.get(random.nextInt(instances.size()));
      victim.slownessMs = random.nextInt(400);
      fleet.suspend(victim, random.nextInt(6_000));
      fleet.run(random.nextInt(700));
    }
    fleet.cut("d" + random.nextInt(DOMAINS));
    read(fleet, 1_000);
    long lastReadMs = fleet.nowMs() - READ_WAIT_MS;
    for (int step = 0; step < 100; step++) {
      fleet.run(100);
      for (SimulatedFleet.Instance instance : instances) {
        assertWithMessage("confirmation at %s", instance.identity.name())
            .that(freshness(instance).confirmedMs())
            .isAtMost(lastReadMs);
      }
    }
  }

  // Guards against a member that missed a row and is told by its relay that all is as it was.
  @Test
  void aMemberWithoutTheNewestRowIsNotConfirmed() {
    SimulatedFleet fleet = startedFleet(22);
    read(fleet, 2_000);
    long beforeMs = fleet.nowMs();
    relaysOf(fleet).forEach(relay -> freshness(relay).recordRow(NEXT_ROW_VERSION));
    fleet.run(100);
    read(fleet, 3_000);
    List<SimulatedFleet.Instance> behind =
        fleet.where(instance -> freshness(instance).rowVersion().equals(ROW_VERSION));
    assertThat(behind.size()).isAtLeast(40);
    behind.forEach(member -> assertThat(freshness(member).confirmedMs()).isAtMost(beforeMs));
    behind.forEach(member -> freshness(member).recordRow(NEXT_ROW_VERSION));
    read(fleet, 1_500);
    behind.forEach(member -> assertThat(freshness(member).confirmedMs()).isGreaterThan(beforeMs));
  }
}
