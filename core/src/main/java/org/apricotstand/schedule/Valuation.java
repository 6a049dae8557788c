package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.placement.DecayingCounts;

/** Values of waiting groups, for loads, and of resident adapters, for evictions. */
final class Valuation {

  /** A shift in popularity is followed within a minute. */
  static final long HALF_LIFE_MS = 20_000;

  /** A request that has waited this long counts twice. */
  private static final double AGE_MS = 1_000;

  /** Slack below which the deadline raises a request's value by more than its class. */
  private static final double URGENT_SLACK_MS = 2_000;

  /** Weight of the requests that are expected soon against those that wait already. */
  private static final double EXPECTED_WEIGHT = 0.05;

  private final DecayingCounts<AdapterVersion> popularity = new DecayingCounts<>(HALF_LIFE_MS);

  void requested(AdapterVersion adapterVersion, long nowMs) {
    popularity.add(adapterVersion, nowMs);
  }

  /** Returns the value of loading an adapter for the requests that wait for it. */
  double ofGroup(WaitingQueue.Group group, long nowMs) {
    double value = EXPECTED_WEIGHT * popularity.value(group.adapterVersion(), nowMs);
    for (WaitingQueue.Entry entry : group.entries()) {
      ScheduledRequest request = entry.request();
      double age = 1 + Math.max(0, nowMs - request.arrivedMs()) / AGE_MS;
      double slackMs = Math.max(1, request.deadlineMs() - nowMs);
      value += weight(request.requestClass()) * age * (1 + URGENT_SLACK_MS / slackMs);
    }
    return value;
  }

  /** Returns the value of keeping a resident adapter. */
  double ofResident(AdapterVersion adapterVersion, long nowMs) {
    return popularity.value(adapterVersion, nowMs);
  }

  private static double weight(RequestClass requestClass) {
    return switch (requestClass) {
      case INTERACTIVE -> 4;
      case STANDARD -> 2;
      case BACKGROUND -> 1;
    };
  }
}
