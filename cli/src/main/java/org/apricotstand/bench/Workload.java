package org.apricotstand.bench;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomDataGenerator;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * All arrivals of an experiment. They depend only on the scenario, the seed and the duration.
 *
 * @param requests model requests, sorted by arrival
 * @param orders calls to the plain service, sorted by arrival, duplicates included
 */
record Workload(List<ModelRequest> requests, List<Order> orders) {

  private static final double MS_PER_S = 1_000;

  /**
   * A model request.
   *
   * @param id identifier, unique in the workload
   * @param atMs arrival time in milliseconds from the start of the experiment
   * @param entry number of the entry instance to which a load balancer would send it
   * @param adapter number of the adapter
   * @param streamed whether the answer is streamed
   */
  record ModelRequest(String id, long atMs, int entry, int adapter, boolean streamed) {}

  /** A call to the plain service; a duplicate has the identity of the order that it repeats. */
  record Order(String identity, long atMs, int entry) {}

  static Workload generate(Scenario scenario, long seed, long durationMs) {
    return new Workload(
        generateRequests(scenario, seed, durationMs),
        generateOrders(scenario, seed + 1, durationMs));
  }

  private static List<ModelRequest> generateRequests(
      Scenario scenario, long seed, long durationMs) {
    RandomGenerator random = new Well19937c(seed);
    Scenario.Arrivals arrivals = scenario.arrivals();
    ExponentialDistribution interarrivalTimes =
        new ExponentialDistribution(random, MS_PER_S / arrivals.requestsPerSecond());
    ZipfDistribution ranks =
        new ZipfDistribution(random, scenario.adapters(), arrivals.zipfExponent());
    int[] adapterByRank =
        new RandomDataGenerator(random).nextPermutation(scenario.adapters(), scenario.adapters());
    int[] adapterByRankAfterShift = exchangeAdapters(adapterByRank, arrivals.shiftShare(), random);
    double shiftMs = durationMs * arrivals.shiftAt();
    List<ModelRequest> requests = new ArrayList<>();
    for (double atMs = interarrivalTimes.sample();
        atMs < durationMs;
        atMs += interarrivalTimes.sample()) {
      int rank = ranks.sample() - 1;
      int adapter = atMs < shiftMs ? adapterByRank[rank] : adapterByRankAfterShift[rank];
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

  /** Returns a copy in which the adapters of a random share of the ranks are permuted. */
  private static int[] exchangeAdapters(int[] adapterByRank, double share, RandomGenerator random) {
    List<Integer> ranks = new ArrayList<>();
    for (int rank = 0; rank < adapterByRank.length; rank++) {
      if (random.nextDouble() < share) {
        ranks.add(rank);
      }
    }
    int[] adapterByRankAfterShift = adapterByRank.clone();
    if (ranks.size() > 1) {
      int[] permutation =
          new RandomDataGenerator(random).nextPermutation(ranks.size(), ranks.size());
      for (int i = 0; i < permutation.length; i++) {
        adapterByRankAfterShift[ranks.get(i)] = adapterByRank[ranks.get(permutation[i])];
      }
    }
    return adapterByRankAfterShift;
  }

  private static List<Order> generateOrders(Scenario scenario, long seed, long durationMs) {
    Scenario.Orders orders = scenario.orders();
    RandomGenerator random = new Well19937c(seed);
    ExponentialDistribution interarrivalTimes =
        new ExponentialDistribution(random, MS_PER_S / orders.ordersPerSecond());
    List<Order> sentOrders = new ArrayList<>();
    int number = 0;
    for (double atMs = interarrivalTimes.sample();
        atMs < durationMs;
        atMs += interarrivalTimes.sample()) {
      String identity = "order-" + number++;
      sentOrders.add(new Order(identity, (long) atMs, random.nextInt(scenario.entries())));
      if (random.nextDouble() < orders.repeatShare()) {
        long duplicateAtMs = (long) atMs + orders.repeatAfterMs();
        sentOrders.add(new Order(identity, duplicateAtMs, random.nextInt(scenario.entries())));
      }
    }
    sentOrders.sort(java.util.Comparator.comparingLong(Order::atMs));
    return sentOrders;
  }
}
