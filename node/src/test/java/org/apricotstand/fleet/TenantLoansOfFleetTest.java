package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.quota.QuotaLimit;
import org.junit.jupiter.api.Test;

/**
 * Instances of a simulated fleet with relays that lend credit to them. What all instances admit
 * must stay within the bound in every window, whatever becomes of a loan.
 */
class TenantLoansOfFleetTest extends TenantQuotasFixture {

  private static final QuotaLimit SMALL = new QuotaLimit(14_000, 14_000);

  /** Sets a limit of which each instance gets less than one request. */
  private SimulatedFleet fleetWithSmallLimit(long seed) {
    limit = SMALL;
    minCost = 1_500;
    maxCost = 4_400;
    weights = instance -> 1;
    return restartedFleet(63, 4, seed);
  }

  private void demand(double partOfLimit) {
    demandPerS = partOfLimit * limit.ratePerS();
  }

  private void heat(String domain) {
    weights = instance -> instance.identity.domain().equals(domain) ? 30 : 1;
  }

  // Guards against requests far below the limit that are refused because the demand is not known
  // yet.
  @Test
  void demandThatBeginsAtOnceIsServed() {
    for (int seed = 20; seed < 24; seed++) {
      SimulatedFleet fleet = restartedFleet(63, 4, seed);
      demand(0.5);
      assertServed("first 3 s, seed " + seed, admittedPart(fleet, 3_000), 0.97);
      play(fleet, 20_000);
      assertWithinBound("startup, seed " + seed);
    }
  }

  // Guards against new processes that lend nothing until they know all others.
  @Test
  void aNewFleetIsServed() {
    for (long seed = 41; seed < 44; seed++) {
      admittedByStep.clear();
      traffic.clear();
      nowMs = 1_000;
      SimulatedFleet fleet = new SimulatedFleet(63, 4, seed);
      demandPerS = 0;
      play(fleet, 2_000);
      demand(0.5);
      assertServed("new fleet, seed " + seed, admittedPart(fleet, 3_000), 0.97);
      play(fleet, 20_000);
      assertWithinBound("new fleet, seed " + seed);
    }
  }

  // Guards against a fleet that restarts and lends once more what it has just lent.
  @Test
  void aRestartedFleetStaysWithinTheBound() {
    for (long seed = 44; seed < 49; seed++) {
      SimulatedFleet fleet = seed == 44 ? fleetWithSmallLimit(seed) : largeFleet(seed);
      demand(10);
      play(fleet, 12_000);
      fleet.all().forEach(fleet::restart);
      play(fleet, 3_000);
      heat("d1");
      play(fleet, 12_000);
      fleet.where(instance -> instance.identity.domain().equals("d1")).forEach(fleet::restart);
      play(fleet, 12_000);
      assertWithinBound("restarted fleet, seed " + seed);
    }
  }

  private SimulatedFleet largeFleet(long seed) {
    limit = LIMIT;
    minCost = MIN_COST;
    maxCost = MAX_COST;
    weights = instance -> 1;
    return restartedFleet(63, 4, seed);
  }

  // Guards against a limit of which no instance can use its part, since that is less than one
  // request.
  @Test
  void aSmallLimitIsServed() {
    for (int seed = 24; seed < 27; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      demand(0.5);
      assertServed("small limit at once, seed " + seed, admittedPart(fleet, 10_000), 0.9);
      assertServed("small limit, seed " + seed, admittedPart(fleet, 60_000), 0.9);
      demand(10);
      play(fleet, 20_000);
      assertWithinBound("small limit, seed " + seed);
    }
  }

  // Guards against relays that lend what others have lent before the demand moved.
  @Test
  void aSmallLimitFollowsDemandBetweenDomains() {
    SimulatedFleet fleet = fleetWithSmallLimit(28);
    demand(0.3);
    moveDemand(fleet, 4, 4, 5_000);
    offered = 0;
    admitted = 0;
    moveDemand(fleet, 4, 12, 5_000);
    assertServed("moving small limit", (double) admitted / offered, 0.9);
    demand(10);
    for (int i = 0; i < 16; i++) {
      heat("d" + i % 4);
      play(fleet, 2_000);
    }
    assertWithinBound("moving small limit");
  }

  // Guards against loans that are forgotten with the relay that gave them.
  @Test
  void lostRelaysStayWithinTheBound() {
    for (int seed = 29; seed < 31; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      heat("d1");
      demand(3);
      play(fleet, 10_000);
      for (int i = 0; i < 8; i++) {
        fleet.restart(fleet.someRelay());
        heat("d" + i % 4);
        play(fleet, 2_300);
      }
      fleet.kill(fleet.someRelay());
      fleet.kill(fleet.someRelay());
      play(fleet, 15_000);
      assertWithinBound("lost relays, seed " + seed);
    }
  }

  // Guards against the use of a lost borrower that is lent again while it is in the window.
  @Test
  void lostBorrowersStayWithinTheBound() {
    for (int seed = 31; seed < 33; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      SimulatedFleet.Instance relay = fleet.someRelay();
      for (int i = 0; i < 6; i++) {
        String hot = "n" + (3 + 5 * i);
        weights = instance -> instance.identity.name().equals(hot) ? 1_000 : 1;
        demand(2);
        play(fleet, 6_000);
        if (i % 2 == 0 && fleet.get(hot) != relay) {
          fleet.kill(fleet.get(hot));
        } else {
          fleet.restart(fleet.get(hot));
        }
      }
      play(fleet, 10_000);
      assertWithinBound("lost borrowers, seed " + seed);
    }
  }

  // Guards against domains that lend the limit once on each side of a cut.
  @Test
  void partitionedRelaysStayWithinTheBound() {
    for (int seed = 33; seed < 35; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      heat("d0");
      demand(5);
      play(fleet, 12_000);
      fleet.cut("d0");
      play(fleet, 1_000);
      heat("d1");
      play(fleet, 12_000);
      fleet.heal();
      heat("d2");
      play(fleet, 12_000);
      fleet.cut("d1");
      fleet.cut("d2");
      heat("d3");
      play(fleet, 12_000);
      fleet.heal();
      play(fleet, 8_000);
      assertWithinBound("partitioned relays, seed " + seed);
    }
  }

  // Guards against relays that lend, and borrowers that use, old credit after a pause.
  @Test
  void pausedRelaysAndBorrowersStayWithinTheBound() {
    for (int seed = 35; seed < 37; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      fleet.all().stream().limit(20).forEach(instance -> instance.slownessMs = 150);
      heat("d1");
      demand(5);
      play(fleet, 12_000);
      for (int i = 0; i < 5; i++) {
        long pauseMs = 200 + 600L * i;
        int paused = i % 4;
        fleet
            .where(instance -> instance.identity.domain().equals("d" + paused))
            .forEach(instance -> fleet.suspend(instance, pauseMs));
        heat("d" + (i + 1) % 4);
        play(fleet, 3_000);
        fleet.suspend(fleet.someRelay(), pauseMs);
        play(fleet, 3_000);
      }
      assertWithinBound("paused relays, seed " + seed);
    }
  }

  // Guards against messages that are lost, late or doubled and make a loan count never, for ever,
  // or be used twice.
  @Test
  void lostLateAndDoubledMessagesStayWithinTheBound() {
    for (int seed = 37; seed < 39; seed++) {
      SimulatedFleet fleet = fleetWithSmallLimit(seed);
      fleet.addLoanFaults();
      demand(0.4);
      // A request needs two messages, of which three in five arrive in time.
      assertServed("faulty messages, seed " + seed, admittedPart(fleet, 40_000), 0.3);
      demand(10);
      play(fleet, 30_000);
      assertWithinBound("faulty messages, seed " + seed);
    }
  }

  // Guards against loans within a former limit.
  @Test
  void aLowerSmallLimitBindsWithinOneWindow() {
    SimulatedFleet fleet = fleetWithSmallLimit(39);
    limit = new QuotaLimit(5 * SMALL.ratePerS(), 5 * SMALL.burst());
    demandPerS = 3 * limit.ratePerS();
    play(fleet, 20_000);
    limit = SMALL;
    play(fleet, BOUNDS.windowMs());
    admittedByStep.clear();
    play(fleet, 20_000);
    assertWithinBound("lowered");
  }

  // Guards against questions in fleets where each instance relays for itself alone.
  @Test
  void nothingIsLentInASmallFleet() {
    SimulatedFleet fleet = restartedFleet(16, 4, 40);
    demand(5);
    play(fleet, 10_000);
    assertThat(borrowed).isEqualTo(0);
    fleet
        .running()
        .forEach(
            instance ->
                assertThat(instance.exchange.quotaShares().mayBorrow(fleet.nowMs())).isFalse());
  }
}
