package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.placement.DecayingCounts;

/** Computes the values that order waiting groups for loads and resident adapters for evictions. */
final class Valuation {

  /** Half-life of the request counts; they follow a shift in popularity within a minute. */
  static final long POPULARITY_HALF_LIFE_MS = 20_000;

  /** Waiting time after which a request counts twice. */
  private static final double AGE_DOUBLING_MS = 1_000;

  /** Time to the deadline below which the deadline adds more to the value than the class weight. */
  private static final double URGENT_SLACK_MS = 2_000;

  /** Weight of expected requests, by popularity, relative to requests that wait already. */
  private static final double EXPECTED_WEIGHT = 0.05;

  private final DecayingCounts<AdapterVersion> popularity =
      new DecayingCounts<>(POPULARITY_HALF_LIFE_MS);

  /** Counts a request towards the popularity of its adapter version. */
  void recordRequest(AdapterVersion adapterVersion, long nowMs) {
    popularity.add(adapterVersion, nowMs);
  }

  /** Returns the value of loading an adapter for the requests that wait for it. */
  double groupValue(WaitingQueue.Group group, long nowMs) {
    double value = EXPECTED_WEIGHT * popularity.value(group.adapterVersion(), nowMs);
    for (WaitingQueue.Entry entry : group.entries()) {
      ScheduledRequest request = entry.request();
      double age = 1 + Math.max(0, nowMs - request.arrivedMs()) / AGE_DOUBLING_MS;
      double slackMs = Math.max(1, request.deadlineMs() - nowMs);
      value += classWeight(request.requestClass()) * age * (1 + URGENT_SLACK_MS / slackMs);
    }
    return value;
  }

  /** Returns the value of keeping a resident adapter. */
  double residentValue(AdapterVersion adapterVersion, long nowMs) {
    return popularity.value(adapterVersion, nowMs);
  }

  private static double classWeight(RequestClass requestClass) {
    return switch (requestClass) {
      case INTERACTIVE -> 4;
      case STANDARD -> 2;
      case BACKGROUND -> 1;
    };
  }
}
