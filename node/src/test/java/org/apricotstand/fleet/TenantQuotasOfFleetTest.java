package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import org.apricotstand.quota.QuotaLimit;
import org.junit.jupiter.api.Test;

/**
 * Instances of a simulated fleet that admit the requests of one tenant within their shares of its
 * limit. What all of them admit must stay within the bound in every window.
 */
class TenantQuotasOfFleetTest extends TenantQuotasFixture {

  // Guards against shares that do not follow demand, so that requests below the limit are refused.
  @Test
  void demandBelowTheLimitIsServedAlthoughItIsUneven() {
    SimulatedFleet fleet = startedFleet(63, 3, 1);
    weights = TenantQuotasFixture::skew;
    // Requests arrive at random, a few a second at each instance, so that some find no room there.
    Map<Double, Double> leastAdmitted =
        Map.of(0.3, 0.995, 0.5, 0.995, 0.7, 0.99, 0.8, 0.98, 0.9, 0.95, 1.0, 0.9);
    for (double load : leastAdmitted.keySet().stream().sorted().toList()) {
      demandPerS = load * LIMIT.ratePerS();
      play(fleet, 10_000);
      assertServed("load " + load, admittedPart(fleet, 40_000), leastAdmitted.get(load));
    }
    assertWithinBound("below the limit");
  }

  // Guards against requests that are refused because the demand has moved to other instances.
  @Test
  void demandThatMovesBetweenDomainsFindsRoom() {
    SimulatedFleet fleet = startedFleet(63, 3, 2);
    Map<Double, Double> leastAdmitted = Map.of(0.5, 0.99, 0.7, 0.95, 0.8, 0.91);
    for (double load : leastAdmitted.keySet().stream().sorted().toList()) {
      demandPerS = load * LIMIT.ratePerS();
      moveDemand(fleet, 3, 3, 5_000);
      offered = 0;
      admitted = 0;
      moveDemand(fleet, 3, 9, 5_000);
      assertServed("moving " + load, (double) admitted / offered, leastAdmitted.get(load));
    }
    assertWithinBound("moving below");
  }

  // Guards against shares that overlap while demand beyond the limit moves or rises at once.
  @Test
  void demandBeyondTheLimitStaysWithinTheBound() {
    SimulatedFleet fleet = startedFleet(63, 3, 3);
    demandPerS = 0.8 * LIMIT.ratePerS();
    play(fleet, 20_000);
    demandPerS *= 10;
    offered = 0;
    admitted = 0;
    moveDemand(fleet, 3, 12, 3_000);
    assertWithMessage("admitted while the demand exceeds the limit")
        .that(admitted / 36.0)
        .isAtLeast(LIMIT.ratePerS());
    demandPerS = 0.2 * LIMIT.ratePerS();
    play(fleet, 15_000);
    weights = instance -> instance.identity.domain().equals("d1") ? 50 : 1;
    demandPerS = 5 * LIMIT.ratePerS();
    play(fleet, 15_000);
    weights = instance -> instance.identity.domain().equals("d2") ? 50 : 1;
    play(fleet, 15_000);
    assertWithinBound("beyond");
  }

  // Guards against parts of a fleet that each use the whole limit, or use it when they meet again.
  @Test
  void partitionsStayWithinTheBound() {
    for (int seed = 4; seed < 7; seed++) {
      admittedByStep.clear();
      traffic.clear();
      nowMs = 1_000;
      SimulatedFleet fleet = startedFleet(63, 3, seed);
      weights = instance -> instance.identity.domain().equals("d0") ? 10 : 1;
      demandPerS = 3 * LIMIT.ratePerS();
      play(fleet, 20_000);
      fleet.cut("d1");
      play(fleet, 1_000);
      weights = instance -> instance.identity.domain().equals("d1") ? 10 : 1;
      demandPerS = 10 * LIMIT.ratePerS();
      play(fleet, 15_000);
      fleet.heal();
      weights = instance -> instance.identity.domain().equals("d2") ? 10 : 1;
      play(fleet, 15_000);
      fleet.cut("d0");
      fleet.cut("d1");
      fleet.cut("d2");
      weights = instance -> 1;
      play(fleet, 15_000);
      fleet.heal();
      play(fleet, 10_000);
      assertWithinBound("partitions, seed " + seed);
    }
  }

  // Guards against processes that spend an old share after a pause, a restart or a late message.
  @Test
  void pausesRestartsAndSlowInstancesStayWithinTheBound() {
    for (int seed = 7; seed < 10; seed++) {
      admittedByStep.clear();
      traffic.clear();
      nowMs = 1_000;
      SimulatedFleet fleet = startedFleet(63, 3, seed);
      fleet.all().stream().limit(20).forEach(instance -> instance.slownessMs = 150);
      weights = instance -> instance.identity.domain().equals("d0") ? 10 : 1;
      demandPerS = 6 * LIMIT.ratePerS();
      play(fleet, 20_000);
      fleet.where(i -> i.identity.domain().equals("d0")).forEach(i -> fleet.suspend(i, 6_000));
      weights = instance -> instance.identity.domain().equals("d1") ? 10 : 1;
      play(fleet, 16_000);
      for (int i = 0; i < 8; i++) {
        fleet.restart(fleet.someRelay());
        int hot = i % 3;
        weights = instance -> instance.identity.domain().equals("d" + hot) ? 10 : 1;
        play(fleet, 2_500);
      }
      fleet.all().forEach(fleet::restart);
      play(fleet, 20_000);
      assertWithinBound("pauses, seed " + seed);
    }
  }

  // Guards against a lower limit that binds only when shares have been computed again.
  @Test
  void aLowerLimitBindsWithinOneWindow() {
    SimulatedFleet fleet = startedFleet(63, 3, 10);
    demandPerS = 3 * LIMIT.ratePerS();
    play(fleet, 20_000);
    limit = new QuotaLimit(LIMIT.ratePerS() / 10, LIMIT.burst() / 10);
    play(fleet, BOUNDS.windowMs());
    admittedByStep.clear();
    play(fleet, 20_000);
    assertWithMessage("largest window after the change")
        .that(largestWindow())
        .isAtMost(BOUNDS.perWindow(limit));
  }

  // Guards against a small fleet, in which every instance relays for itself, that counts double.
  @Test
  void aSmallFleetServesItsLimitAndStaysWithinTheBound() {
    SimulatedFleet fleet = startedFleet(7, 3, 11);
    weights = TenantQuotasFixture::skew;
    demandPerS = 0.8 * LIMIT.ratePerS();
    play(fleet, 10_000);
    assertServed("small fleet", admittedPart(fleet, 40_000), 0.999);
    demandPerS = 10 * LIMIT.ratePerS();
    moveDemand(fleet, 3, 8, 3_000);
    fleet.cut("d1");
    moveDemand(fleet, 3, 8, 3_000);
    assertWithinBound("small fleet");
  }

  // Guards against instances that use a share and are lost, so that others use it once more.
  @Test
  void killedInstancesStayWithinTheBound() {
    SimulatedFleet fleet = startedFleet(63, 3, 12);
    weights = instance -> instance.identity.domain().equals("d0") ? 30 : 1;
    demandPerS = 5 * LIMIT.ratePerS();
    play(fleet, 20_000);
    fleet.where(instance -> instance.identity.domain().equals("d0")).forEach(fleet::kill);
    weights = instance -> instance.identity.domain().equals("d1") ? 30 : 1;
    play(fleet, 20_000);
    fleet.where(i -> i.identity.domain().equals("d1")).stream().limit(5).forEach(fleet::kill);
    play(fleet, 20_000);
    assertWithinBound("killed");
  }

  // Guards against a limit smaller than one request of each instance: the equal part is then worth
  // no request, and the bound must hold although each instance has a few of them.
  @Test
  void aSmallLimitIsUsedAndStaysWithinTheBound() {
    limit = new QuotaLimit(6_000, 6_000);
    SimulatedFleet fleet = startedFleet(63, 3, 13);
    weights = TenantQuotasFixture::skew;
    demandPerS = 0.5 * limit.ratePerS();
    // What each instance gets at first is less than one request; its share then follows the demand.
    play(fleet, 30_000);
    retriesRefused = true;
    assertServed("small limit, with one retry", admittedPart(fleet, 60_000), 0.1);
    retriesRefused = false;
    weights = instance -> instance.identity.name().equals("n5") ? 1 : 0;
    play(fleet, 10_000);
    assertServed("small limit, one instance", admittedPart(fleet, 60_000), 0.95);
    weights = instance -> 1;
    demandPerS = 10 * limit.ratePerS();
    play(fleet, 30_000);
    double largest = largestWindow();
    assertWithMessage("largest window").that(largest).isAtMost(BOUNDS.perWindow(limit));
  }
}
