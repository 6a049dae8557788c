package org.apricotstand.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a target of a plain service where the load figures of other instances are old. Answers
 * the load in which many instances send bursts at the same time: if each chose the least loaded
 * target, all would send to the same one until the next figures arrive. The choice is random
 * instead, weighted by the capacity that each target has left.
 */
public final class StaleLoadChooser {

  /** Penalty that counts as much as the use of all slots; the rate of {@link TargetChooser}. */
  private static final double FULL_PENALTY_MS = TargetChooser.WAITING_REQUEST_COST_MS;

  /**
   * Weight of a target in the own domain relative to one elsewhere. A greater one sends the bursts
   * of a domain to its own targets only, whose queues then overflow.
   */
  private static final double OWN_DOMAIN_WEIGHT = 2;

  private StaleLoadChooser() {}

  /**
   * Returns a target drawn by the capacity left, without those that rejected a request a moment
   * ago; if all did, the one with the most room. Empty without candidates.
   *
   * @param domain failure domain of this instance; targets in it are preferred
   * @param draw random number from 0 to 1, uniformly distributed
   */
  public static Optional<Candidate> choose(String domain, List<Candidate> candidates, double draw) {
    double minPenaltyMs = minPenaltyMs(candidates);
    double totalWeight = 0;
    for (Candidate candidate : candidates) {
      totalWeight += candidate.rejecting() ? 0 : weight(candidate, minPenaltyMs, domain);
    }
    double left = draw * totalWeight;
    Candidate drawn = null;
    Candidate heaviest = null;
    double greatestWeight = -1;
    for (Candidate candidate : candidates) {
      double weight = weight(candidate, minPenaltyMs, domain);
      if (weight > greatestWeight) {
        greatestWeight = weight;
        heaviest = candidate;
      }
      if (!candidate.rejecting() && weight > 0 && left >= 0) {
        drawn = candidate;
        left -= weight;
      }
    }
    return Optional.ofNullable(drawn == null ? heaviest : drawn);
  }

  /** Returns the penalty to subtract: failures that all targets share must not move requests. */
  private static double minPenaltyMs(List<Candidate> candidates) {
    double minMs = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      minMs = Math.min(minMs, candidate.penaltyMs());
    }
    return minMs;
  }

  /**
   * Returns the usable slots at their speed, divided by one more than the requests for each slot. A
   * target that is full by the figures keeps half of its weight, since it may have emptied its
   * queue meanwhile.
   */
  private static double weight(Candidate candidate, double minPenaltyMs, String domain) {
    double slots = candidate.target().maxConcurrentRequests();
    double delayMs = candidate.penaltyMs() - minPenaltyMs + candidate.sendDelayMs();
    double usableSlots = slots * Math.max(0, 1 - delayMs / FULL_PENALTY_MS);
    double weight = usableSlots / (1 + candidate.load().total() / slots) / candidate.slowness();
    return candidate.target().domain().equals(domain) ? OWN_DOMAIN_WEIGHT * weight : weight;
  }
}
