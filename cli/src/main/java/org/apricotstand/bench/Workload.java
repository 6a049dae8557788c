package org.apricotstand.bench;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomDataGenerator;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * All arrivals of an experiment, fixed by the scenario, the seed and the duration.
 *
 * @param requests model requests by time
 * @param orders calls to the plain service by time, repeats included
 */
record Workload(List<ModelRequest> requests, List<Order> orders) {

  private static final double MS_PER_S = 1_000;

  /**
   * A model request.
   *
   * @param id name of the request, unique in the workload
   * @param atMs arrival, from the start of the experiment
   * @param entry number of the entry instance that the balancer chooses
   * @param adapter number of the adapter
   * @param streamed whether the answer is streamed
   */
  record ModelRequest(String id, long atMs, int entry, int adapter, boolean streamed) {}

  /** A call to the plain service; a repeat has the identity of its order. */
  record Order(String identity, long atMs, int entry) {}

  static Workload generate(Scenario scenario, long seed, long durationMs) {
    return new Workload(
        requests(scenario, seed, durationMs), orders(scenario, seed + 1, durationMs));
  }

  private static List<ModelRequest> requests(Scenario scenario, long seed, long durationMs) {
    RandomGenerator random = new Well19937c(seed);
    Scenario.Arrivals arrivals = scenario.arrivals();
    ExponentialDistribution gaps =
        new ExponentialDistribution(random, MS_PER_S / arrivals.requestsPerSecond());
    ZipfDistribution ranks =
        new ZipfDistribution(random, scenario.adapters(), arrivals.zipfExponent());
    int[] before =
        new RandomDataGenerator(random).nextPermutation(scenario.adapters(), scenario.adapters());
    int[] after = shifted(before, arrivals.shiftShare(), random);
    double shiftMs = durationMs * arrivals.shiftAt();
    List<ModelRequest> requests = new ArrayList<>();
    for (double atMs = gaps.sample(); atMs < durationMs; atMs += gaps.sample()) {
      int rank = ranks.sample() - 1;
      int adapter = atMs < shiftMs ? before[rank] : after[rank];
      requests.add(
          new ModelRequest(
              "request-" + requests.size(),
              (long) atMs,
              random.nextInt(scenario.entries()),
              adapter,
              random.nextBoolean()));
    }
    return requests;
  }

  /** Exchanges the adapters of a random share of the ranks among each other. */
  private static int[] shifted(int[] before, double share, RandomGenerator random) {
    List<Integer> ranks = new ArrayList<>();
    for (int rank = 0; rank < before.length; rank++) {
      if (random.nextDouble() < share) {
        ranks.add(rank);
      }
    }
    int[] after = before.clone();
    if (ranks.size() > 1) {
      int[] order = new RandomDataGenerator(random).nextPermutation(ranks.size(), ranks.size());
      for (int i = 0; i < order.length; i++) {
        after[ranks.get(i)] = before[ranks.get(order[i])];
      }
    }
    return after;
  }

  private static List<Order> orders(Scenario scenario, long seed, long durationMs) {
    Scenario.Orders orders = scenario.orders();
    RandomGenerator random = new Well19937c(seed);
    ExponentialDistribution gaps =
        new ExponentialDistribution(random, MS_PER_S / orders.ordersPerSecond());
    List<Order> all = new ArrayList<>();
    int number = 0;
    for (double atMs = gaps.sample(); atMs < durationMs; atMs += gaps.sample()) {
      String identity = "order-" + number++;
      all.add(new Order(identity, (long) atMs, random.nextInt(scenario.entries())));
      if (random.nextDouble() < orders.repeatShare()) {
        long repeatMs = (long) atMs + orders.repeatAfterMs();
        all.add(new Order(identity, repeatMs, random.nextInt(scenario.entries())));
      }
    }
    all.sort(java.util.Comparator.comparingLong(Order::atMs));
    return all;
  }
}
