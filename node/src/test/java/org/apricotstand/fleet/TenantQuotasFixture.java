package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.quota.LoanRequests;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaLimit;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.quota.TenantQuotas;

/**
 * Plays the requests of one tenant at the instances of a simulated fleet, which admit them within
 * their shares of its limit or on credit of their relays.
 */
abstract class TenantQuotasFixture {

  static final String TENANT = "hule930";
  static final QuotaLimit LIMIT = new QuotaLimit(231_020, 231_020);
  static final QuotaBounds BOUNDS = QuotaBounds.DEFAULT;
  private static final long STEP_MS = 50;
  static final int MIN_COST = 1_000;
  static final int MAX_COST = 2_000;
  private static final long OBJECTIVE_MS = 500;
  private static final double STEPS_PER_S = 1_000.0 / STEP_MS;

  final Random random = new Random(63);
  final Map<String, Traffic> traffic = new HashMap<>();
  final List<Long> admittedByStep = new ArrayList<>();
  int minCost = MIN_COST;
  int maxCost = MAX_COST;
  QuotaLimit limit = LIMIT;
  ToDoubleFunction<SimulatedFleet.Instance> weights = instance -> 1;
  boolean retriesRefused;
  double demandPerS;
  long offered;
  long admitted;
  long borrowed;
  long nowMs = 1_000;

  /** A request that was refused and is sent again after the time that the refusal named. */
  private record Retry(int cost, long atMs) {}

  /** A request that waits for credit of the relay. */
  private record Waiting(int cost, boolean mayRetry, long untilMs) {}

  /** The traffic side of one process. */
  static final class Traffic {
    private final long incarnation;
    private final TenantQuotas quotas = new TenantQuotas(BOUNDS);
    private final List<Retry> retries = new ArrayList<>();
    private final LoanRequests loans = new LoanRequests();
    private final Map<Long, Waiting> waiting = new TreeMap<>();
    private QuotaShares shares = QuotaShares.NONE;

    private Traffic(long incarnation) {
      this.incarnation = incarnation;
    }
  }

  SimulatedFleet startedFleet(int size, int domains, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(size, domains, seed);
    demandPerS = 0;
    play(fleet, 30_000);
    return fleet;
  }

  /** Forgets the requests of the last fleet. */
  SimulatedFleet restartedFleet(int size, int domains, long seed) {
    admittedByStep.clear();
    traffic.clear();
    nowMs = 1_000;
    return startedFleet(size, domains, seed);
  }

  void play(SimulatedFleet fleet, long durationMs) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; ) {
      long admittedBefore = admitted;
      fleet.run(STEP_MS);
      nowMs += STEP_MS;
      List<SimulatedFleet.Instance> serving =
          fleet.running().stream().filter(instance -> nowMs >= instance.suspendedUntilMs).toList();
      double total = serving.stream().mapToDouble(weights).sum();
      for (SimulatedFleet.Instance instance : serving) {
        // The traffic goes on with the shares of the last step, as after a pause of the process.
        Traffic own = trafficOf(instance);
        instance.quotaListener =
            (number, isLent) -> onAnswer(instance, own, number, isLent, fleet.nowMs());
        endWaits(instance, own);
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
    for (int requests = poisson(cost * 2 / (minCost + maxCost)); requests > 0; requests--) {
      int next = minCost + random.nextInt(maxCost - minCost);
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
    } else if (own.quotas.mayBorrow(nowMs) && own.loans.mayAsk(TENANT, cost, nowMs)) {
      long waitMs = LoanRequests.waitMs(OBJECTIVE_MS);
      long number = own.loans.ask(TENANT, cost, waitMs, nowMs);
      own.waiting.put(number, new Waiting(cost, mayRetry, nowMs + waitMs));
      instance.exchange.requestQuota(new PeerMessage.QuotaWanted(number, TENANT, cost));
    } else {
      refuse(own, cost, mayRetry);
    }
  }

  private void refuse(Traffic own, int cost, boolean mayRetry) {
    if (mayRetry) {
      own.retries.add(new Retry(cost, nowMs + own.quotas.waitMs(TENANT, cost, nowMs)));
    }
  }

  private void onAnswer(
      SimulatedFleet.Instance instance, Traffic own, long number, boolean isLent, long atMs) {
    boolean isUsable = own.loans.onAnswer(number, isLent, atMs);
    Waiting request = own.waiting.remove(number);
    if (request == null) {
      return;
    }
    if (isUsable) {
      own.quotas.addBorrowed(TENANT, request.cost, atMs);
      instance.load.recordAdmitted(TENANT, request.cost);
      admitted += request.cost;
      borrowed += request.cost;
    } else {
      refuse(own, request.cost, request.mayRetry);
    }
    instance.load.setSettledLoans(own.loans.settle(number));
  }

  private void endWaits(SimulatedFleet.Instance instance, Traffic own) {
    Map<Long, Waiting> late = new TreeMap<>(own.waiting);
    late.values().removeIf(request -> nowMs < request.untilMs);
    late.forEach(
        (number, request) -> {
          own.waiting.remove(number);
          own.loans.onUnanswered(number, nowMs);
          instance.load.setSettledLoans(own.loans.settle(number));
          refuse(own, request.cost, request.mayRetry);
        });
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
  double admittedPart(SimulatedFleet fleet, long durationMs) {
    offered = 0;
    admitted = 0;
    borrowed = 0;
    play(fleet, durationMs);
    return (double) admitted / offered;
  }

  /** Gives the domains weights that change every few seconds. */
  void moveDemand(SimulatedFleet fleet, int domains, int moves, long periodMs) {
    for (int move = 0; move < moves; move++) {
      int hot = move % domains;
      weights = instance -> skew(instance) * (instance.identity.domain().equals("d" + hot) ? 3 : 1);
      play(fleet, periodMs);
    }
  }

  /** Returns weights from 0.5 to 2 that are fixed for an instance. */
  static double skew(SimulatedFleet.Instance instance) {
    return 0.5 * Math.pow(4, Math.floorMod(instance.identity.name().hashCode() * 31, 17) / 16.0);
  }

  double largestWindow() {
    int steps = (int) (BOUNDS.windowMs() / STEP_MS);
    double largest = 0;
    long sum = 0;
    for (int i = 0; i < admittedByStep.size(); i++) {
      sum += admittedByStep.get(i) - (i >= steps ? admittedByStep.get(i - steps) : 0);
      largest = Math.max(largest, sum);
    }
    return largest;
  }

  void assertWithinBound(String situation) {
    double largest = largestWindow();
    assertWithMessage("largest window: %s", situation)
        .that(largest)
        .isAtMost(BOUNDS.perWindow(limit));
  }

  static void assertServed(String situation, double part, double atLeast) {
    assertWithMessage("admitted part: %s", situation).that(part).isAtLeast(atLeast);
  }
}
