package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaLimit;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.quota.TenantQuotas;
import org.junit.jupiter.api.Test;

/**
 * Instances of a simulated fleet that admit the requests of one tenant within their shares of its
 * limit. What all of them admit must stay within the bound in every window.
 */
class TenantQuotasOfFleetTest {

  private static final String TENANT = "hule930";
  private static final QuotaLimit LIMIT = new QuotaLimit(231_020, 231_020);
  private static final QuotaBounds BOUNDS = QuotaBounds.DEFAULT;
  private static final long STEP_MS = 50;
  private static final int MIN_COST = 1_000;
  private static final int MAX_COST = 2_000;
  private static final double STEPS_PER_S = 1_000.0 / STEP_MS;

  private final Random random = new Random(63);
  private final Map<String, Traffic> traffic = new HashMap<>();
  private final List<Long> admittedByStep = new ArrayList<>();
  private QuotaLimit limit = LIMIT;
  private ToDoubleFunction<SimulatedFleet.Instance> weights = instance -> 1;
  private boolean retriesRefused;
  private double demandPerS;
  private long offered;
  private long admitted;
  private long nowMs = 1_000;

  /** A request that was refused and is sent again after the time that the refusal named. */
  private record Retry(int cost, long atMs) {}

  /** The traffic side of one process. */
  private static final class Traffic {
    private final long incarnation;
    private final TenantQuotas quotas = new TenantQuotas(BOUNDS);
    private final List<Retry> retries = new ArrayList<>();
    private QuotaShares shares = QuotaShares.NONE;

    private Traffic(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  private SimulatedFleet startedFleet(int size, int domains, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(size, domains, seed);
    demandPerS = 0;
    play(fleet, 30_000);
    return fleet;
  }

  private void play(SimulatedFleet fleet, long durationMs) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; ) {
      fleet.run(STEP_MS);
      nowMs += STEP_MS;
      List<SimulatedFleet.Instance> serving =
          fleet.running().stream().filter(instance -> nowMs >= instance.suspendedUntilMs).toList();
      double total = serving.stream().mapToDouble(weights).sum();
      long admittedBefore = admitted;
      for (SimulatedFleet.Instance instance : serving) {
        // The traffic goes on with the shares of the last step, as after a pause of the process.
        Traffic own = trafficOf(instance);
        own.quotas.setShares(own.shares);
        serve(instance, own, demandPerS * weights.applyAsDouble(instance) / total / STEPS_PER_S);
        instance.exchange.quotas().setLimits(Map.of(TENANT, limit));
        instance
            .exchange
            .quotas()
            .setInstances(instance.known.count(instance.exchange.liveInstances()));
        own.shares = instance.exchange.quotaShares();
      }
      admittedByStep.add(admitted - admittedBefore);
    }
  }

  private void serve(SimulatedFleet.Instance instance, Traffic own, double cost) {
    own.quotas.setLimits(Map.of(TENANT, limit), nowMs);
    for (int requests = poisson(cost * 2 / (MIN_COST + MAX_COST)); requests > 0; requests--) {
      int next = MIN_COST + random.nextInt(MAX_COST - MIN_COST);
      offered += next;
      send(instance, own, next, retriesRefused);
    }
    List<Retry> due = own.retries.stream().filter(retry -> nowMs >= retry.atMs).toList();
    own.retries.removeAll(due);
    due.forEach(retry -> send(instance, own, retry.cost, false));
  }

  private void send(SimulatedFleet.Instance instance, Traffic own, int cost, boolean mayRetry) {
    instance.load.recordOffered(TENANT, cost);
    if (own.quotas.tryTake(TENANT, cost, nowMs)) {
      instance.load.recordAdmitted(TENANT, cost);
      admitted += cost;
    } else if (mayRetry) {
      own.retries.add(new Retry(cost, nowMs + own.quotas.waitMs(TENANT, cost, nowMs)));
    }
  }

  private int poisson(double mean) {
    int count = 0;
    double logOfProduct = Math.log(1 - random.nextDouble());
    while (logOfProduct > -mean) {
      count++;
      logOfProduct += Math.log(1 - random.nextDouble());
    }
    return count;
  }

  private Traffic trafficOf(SimulatedFleet.Instance instance) {
    return traffic.compute(
        instance.identity.name(),
        (name, before) ->
            before == null || before.incarnation != instance.incarnation
                ? new Traffic(instance.incarnation)
                : before);
  }

  /** Plays for a time and returns the part of the demand that was admitted. */
  private double admittedPart(SimulatedFleet fleet, long durationMs) {
    offered = 0;
    admitted = 0;
    play(fleet, durationMs);
    return (double) admitted / offered;
  }

  /** Gives the domains weights that change every few seconds. */
  private void moveDemand(SimulatedFleet fleet, int domains, int moves, long periodMs) {
    for (int move = 0; move < moves; move++) {
      int hot = move % domains;
      weights = instance -> skew(instance) * (instance.identity.domain().equals("d" + hot) ? 3 : 1);
      play(fleet, periodMs);
    }
  }

  /** Returns weights from 0.5 to 2 that are fixed for an instance. */
  private static double skew(SimulatedFleet.Instance instance) {
    return 0.5 * Math.pow(4, Math.floorMod(instance.identity.name().hashCode() * 31, 17) / 16.0);
  }

  private double largestWindow() {
    int steps = (int) (BOUNDS.windowMs() / STEP_MS);
    double largest = 0;
    long sum = 0;
    for (int i = 0; i < admittedByStep.size(); i++) {
      sum += admittedByStep.get(i) - (i >= steps ? admittedByStep.get(i - steps) : 0);
      largest = Math.max(largest, sum);
    }
    return largest;
  }

  private void assertWithinBound(String situation) {
    double largest = largestWindow();
    assertWithMessage("largest window: %s", situation)
        .that(largest)
        .isAtMost(BOUNDS.perWindow(LIMIT));
  }

  private static void assertServed(String situation, double part, double atLeast) {
    assertWithMessage("admitted part: %s", situation).that(part).isAtLeast(atLeast);
  }

  // Guards against shares that do not follow demand, so that requests below the limit are refused.
  @Test
  void demandBelowTheLimitIsServedAlthoughItIsUneven() {
    SimulatedFleet fleet = startedFleet(63, 3, 1);
    weights = TenantQuotasOfFleetTest::skew;
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
    weights = TenantQuotasOfFleetTest::skew;
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
    weights = TenantQuotasOfFleetTest::skew;
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
