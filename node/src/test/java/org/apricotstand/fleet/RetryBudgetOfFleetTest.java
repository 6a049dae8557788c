package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.apricotstand.limit.AllowanceShare;
import org.apricotstand.limit.WindowedRetryBudget;
import org.junit.jupiter.api.Test;

/** Instances of a simulated fleet that retry whenever their budget allows. */
class RetryBudgetOfFleetTest {

  private static final double RATIO = 0.2;
  private static final double ALLOWANCE = 54;
  private static final long WINDOW_MS = 10_000;
  private static final long STEP_MS = 100;
  private static final double REQUESTS_PER_STEP = 0.1;

  private final Random random = new Random(33);
  private final List<Long> requestTimesMs = new ArrayList<>();
  private final List<Long> retryTimesMs = new ArrayList<>();
  private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();
  private final Map<String, AllowanceShare> shares = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private long nowMs;

  private static SimulatedFleet startedFleet(int size, int domains) {
    return new SimulatedFleet(size, domains, 33);
  }

  /** Lets all running instances serve requests, and retry as often as they may. */
  private void play(SimulatedFleet fleet, long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      fleet.run(STEP_MS);
      nowMs += STEP_MS;
      fleet.running().forEach(this::serve);
    }
  }

  private void serve(SimulatedFleet.Instance instance) {
    WindowedRetryBudget budget = budgetOf(instance);
    if (random.nextDouble() < REQUESTS_PER_STEP) {
      requestTimesMs.add(nowMs);
      budget.recordRequest(nowMs);
    }
    AllowanceShare share = shares.get(instance.identity.name());
    int known = instance.known.count(instance.exchange.liveInstances());
    if (known > 0) {
      share.setInstances(known, nowMs);
    }
    while (budget.tryReserveRetry(share.fraction(nowMs), nowMs)) {
      budget.recordRetry(nowMs);
      retryTimesMs.add(nowMs);
    }
  }

  /** Returns the budget of the current life of an instance. */
  private WindowedRetryBudget budgetOf(SimulatedFleet.Instance instance) {
    String name = instance.identity.name();
    Long before = incarnations.put(name, instance.incarnation);
    if (before == null || before != instance.incarnation) {
      shares.put(name, new AllowanceShare(WINDOW_MS));
      budgets.put(name, new WindowedRetryBudget(RATIO, ALLOWANCE, WINDOW_MS));
    }
    return budgets.get(name);
  }

  private void assertEachWindowIsWithinTheBudget(String situation) {
    for (long startMs = 0; startMs <= nowMs; startMs += STEP_MS) {
      long retries = countIn(retryTimesMs, startMs);
      long requests =
          Math.max(
              countIn(requestTimesMs, startMs),
              Math.max(
                  countIn(requestTimesMs, startMs - WINDOW_MS / 2),
                  countIn(requestTimesMs, startMs - WINDOW_MS)));
      assertWithMessage("%s: retries from %s ms on, %s requests", situation, startMs, requests)
          .that((double) retries)
          .isAtMost(RATIO * requests + ALLOWANCE);
    }
  }

  /** Checks that the instances use their shares, and not only the ratio. */
  private void assertAllowanceIsUsed() {
    long startMs = nowMs - WINDOW_MS;
    assertThat((double) countIn(retryTimesMs, startMs))
        .isGreaterThan(RATIO * countIn(requestTimesMs, startMs));
  }

  private static long countIn(List<Long> timesMs, long startMs) {
    return timesMs.stream().filter(at -> at >= startMs && at < startMs + WINDOW_MS).count();
  }

  // Guards against a retry storm when processes start, which each took the whole allowance.
  @Test
  void startingInstancesStayWithinTheBudgetOfTheFleet() {
    play(startedFleet(7, 3), 30_000);
    assertAllowanceIsUsed();
    assertEachWindowIsWithinTheBudget("start");
  }

  // Guards against groups that each take the whole allowance when they cannot reach each other.
  @Test
  void domainsThatAreCutOffStayWithinTheBudgetOfTheFleet() {
    SimulatedFleet fleet = startedFleet(90, 5);
    fleet.run(40_000);
    play(fleet, 20_000);
    fleet.cut("d0");
    fleet.cut("d1");
    fleet.cut("d2");
    fleet.cut("d3");
    play(fleet, 60_000);
    assertEachWindowIsWithinTheBudget("cut");
  }

  // Guards against new processes that take a share which their previous life has used, and against
  // others that take the share of a process which has sent its retries and ended.
  @Test
  void restartsStayWithinTheBudgetOfTheFleet() {
    SimulatedFleet fleet = startedFleet(7, 3);
    fleet.run(40_000);
    play(fleet, 20_000);
    fleet
        .all()
        .forEach(
            instance -> {
              fleet.restart(instance);
              play(fleet, 1_500);
            });
    play(fleet, 20_000);
    assertAllowanceIsUsed();
    assertEachWindowIsWithinTheBudget("restarts in turn");
  }

  // Guards against new processes that all start with a full budget, after all have been killed.
  @Test
  void aCommonRestartStaysWithinTheBudgetOfTheFleet() {
    SimulatedFleet fleet = startedFleet(90, 5);
    fleet.run(40_000);
    play(fleet, 20_000);
    fleet.all().forEach(fleet::restart);
    play(fleet, 30_000);
    assertEachWindowIsWithinTheBudget("common restart");
  }

  // Guards against processes that start again and again and use a new share in each life.
  @Test
  void processesThatRestartTwiceInAWindowStayWithinTheBudgetOfTheFleet() {
    SimulatedFleet fleet = startedFleet(7, 3);
    fleet.run(40_000);
    play(fleet, 20_000);
    fleet.all().forEach(fleet::restart);
    play(fleet, 3_000);
    fleet.all().forEach(fleet::restart);
    play(fleet, 20_000);
    assertEachWindowIsWithinTheBudget("repeated restarts");
  }
}
