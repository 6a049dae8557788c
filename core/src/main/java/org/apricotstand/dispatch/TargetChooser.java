package org.apricotstand.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apricotstand.placement.Rendezvous;

/**
 * Chooses the target with the least expected time until a request begins.
 *
 * <pre>{@code
 * Optional<Candidate> best = TargetChooser.chooseEngine(adapter, domain, candidates);
 * }</pre>
 */
public final class TargetChooser {

  /** Time that reading one waiting prompt takes. */
  static final double WAITING_COST_MS = 70;

  /** Slow-down by one more request in the batch. */
  static final double RUNNING_COST_MS = 4;

  /** Time to load a missing adapter of which the engine keeps a copy. */
  static final double WARM_LOAD_COST_MS = 40;

  /**
   * Cost of a load from the weight store. Each one takes from a rate that all engines share, so it
   * counts for more than the time it takes.
   */
  static final double LOAD_COST_MS = 1_000;

  /** Time left on average of a load in progress. */
  static final double ARRIVING_COST_MS = 150;

  /** Time until the runs on an older version end and the newer one is loaded. */
  static final double REPLACEMENT_COST_MS = 1_500;

  /** Time until a load that waits for another one at the same engine begins. */
  static final double QUEUED_LOAD_COST_MS = 80;

  /** Time until a missing base model is loaded, in most cases. */
  static final double MODEL_COST_MS = 6_000;

  /** Prefers engines by rank, so that each adapter is loaded on few of them. */
  static final double RANK_COST_MS = 25;

  private static final double OTHER_DOMAIN_COST_MS = 3;

  private TargetChooser() {}

  /** Returns the best engine for an adapter; empty when none can serve it soon. */
  public static Optional<Candidate> chooseEngine(
      String adapter, String domain, List<Candidate> candidates) {
    List<Candidate> ranked =
        Rendezvous.rank(
            adapter, withRelativePenalties(candidates), candidate -> candidate.target().id());
    return IntStream.range(0, ranked.size())
        .boxed()
        .filter(rank -> canServeSoon(ranked.get(rank)))
        .min(Comparator.comparingDouble(rank -> costAtRankMs(ranked.get(rank), rank, domain)))
        .map(ranked::get);
  }

  private static boolean canServeSoon(Candidate candidate) {
    return switch (candidate.availability()) {
      case RESIDENT, ARRIVING -> true;
      case ASKED, STALE, WARM, COLD, NO_MODEL -> candidate.loadable();
    };
  }

  private static double costAtRankMs(Candidate candidate, int rank, String domain) {
    return engineCostMs(candidate, domain) + rank * rankCost(candidate);
  }

  /** Returns the least loaded target of a plain service. */
  public static Optional<Candidate> choosePlain(String domain, List<Candidate> candidates) {
    return withRelativePenalties(candidates).stream()
        .min(
            Comparator.comparingDouble((Candidate candidate) -> plainCost(candidate, domain))
                .thenComparing(candidate -> candidate.target().id()));
  }

  /** Failures that all targets share say nothing about which one to choose. */
  private static List<Candidate> withRelativePenalties(List<Candidate> candidates) {
    double sharedMs = candidates.stream().mapToDouble(Candidate::penaltyMs).min().orElse(0);
    return candidates.stream()
        .map(candidate -> candidate.withPenaltyMs(candidate.penaltyMs() - sharedMs))
        .toList();
  }

  private static double rankCost(Candidate candidate) {
    return candidate.isResident() ? 1 : RANK_COST_MS;
  }

  private static double engineCostMs(Candidate candidate, String domain) {
    TargetLoad load = candidate.load();
    double overfullMs = Math.max(0, load.total() - candidate.target().slots()) * WAITING_COST_MS;
    return load.waiting() * WAITING_COST_MS
        + load.started() * RUNNING_COST_MS
        + overfullMs
        + residencyCostMs(candidate)
        + candidate.penaltyMs()
        + domainCostMs(candidate, domain);
  }

  private static double residencyCostMs(Candidate candidate) {
    double queueMs = candidate.queuedLoads() * QUEUED_LOAD_COST_MS;
    return switch (candidate.availability()) {
      case RESIDENT -> 0;
      case ARRIVING, ASKED -> ARRIVING_COST_MS;
      case STALE -> REPLACEMENT_COST_MS;
      case WARM -> WARM_LOAD_COST_MS + queueMs;
      case COLD -> LOAD_COST_MS + queueMs;
      case NO_MODEL -> MODEL_COST_MS + queueMs;
    };
  }

  private static double plainCost(Candidate candidate, String domain) {
    double fill = (double) candidate.load().total() / Math.max(1, candidate.target().slots());
    return fill * WAITING_COST_MS + candidate.penaltyMs() + domainCostMs(candidate, domain);
  }

  private static double domainCostMs(Candidate candidate, String domain) {
    return candidate.target().domain().equals(domain) ? 0 : OTHER_DOMAIN_COST_MS;
  }
}
