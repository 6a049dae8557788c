package org.apricotstand.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apricotstand.placement.Rendezvous;

/**
 * Chooses the target at which a request is expected to start first. Costs are expected delays in
 * milliseconds, except for those whose comment gives another reason.
 *
 * <pre>{@code
 * Optional<Candidate> best = TargetChooser.chooseEngine(adapter, domain, candidates);
 * }</pre>
 */
public final class TargetChooser {

  /** Time to process the prompt of one waiting request. */
  static final double WAITING_REQUEST_COST_MS = 70;

  /** Delay that each further request in the batch causes. */
  static final double RUNNING_REQUEST_COST_MS = 4;

  /** Time to load an adapter of which the engine keeps a local copy. */
  static final double WARM_LOAD_COST_MS = 40;

  /**
   * Cost of a load from the weight store. It is higher than the time of the load, because all
   * engines share the store's rate limit.
   */
  static final double COLD_LOAD_COST_MS = 1_000;

  /** Average remaining time of a load in progress. */
  static final double REMAINING_LOAD_COST_MS = 150;

  /** Time until the requests on an older version end and the newer version is loaded. */
  static final double VERSION_REPLACEMENT_COST_MS = 1_500;

  /** Delay of a load by each load that is queued before it at the same engine. */
  static final double QUEUED_LOAD_COST_MS = 80;

  /** Time within which a missing base model is loaded in most cases. */
  static final double MODEL_LOAD_COST_MS = 6_000;

  /**
   * Cost of each rank by which an engine stands behind the first one in the rendezvous order of the
   * adapter, so that each adapter is loaded on few engines.
   */
  static final double RANK_COST_MS = 25;

  private static final double OTHER_DOMAIN_COST_MS = 3;

  private TargetChooser() {}

  /**
   * Returns the engine of the least cost for an adapter; empty when no engine holds the adapter, is
   * loading it or has a reachable owner that can load it.
   *
   * @param adapter key of the adapter, by which the engines are ranked
   * @param domain failure domain of this instance; targets in it are preferred
   */
  public static Optional<Candidate> chooseEngine(
      String adapter, String domain, List<Candidate> candidates) {
    List<Candidate> ranked =
        Rendezvous.rank(
            adapter, withRelativePenalties(candidates), candidate -> candidate.target().id());
    Optional<Candidate> best =
        IntStream.range(0, ranked.size())
            .boxed()
            .filter(rank -> canServeSoon(ranked.get(rank)))
            .min(Comparator.comparingDouble(rank -> costAtRankMs(ranked.get(rank), rank, domain)))
            .map(ranked::get);
    return best.isPresent() && best.get().isResident() ? fastestResident(ranked, domain) : best;
  }

  /**
   * Returns the engine of the least cost among those that hold the adapter, by their present speed.
   * The speed decides only between them: a slow spell is often over before an adapter is loaded.
   */
  private static Optional<Candidate> fastestResident(List<Candidate> ranked, String domain) {
    return IntStream.range(0, ranked.size())
        .boxed()
        .filter(rank -> ranked.get(rank).isResident())
        .min(
            Comparator.comparingDouble(
                rank -> {
                  Candidate candidate = ranked.get(rank);
                  return costAtRankMs(candidate, rank, domain) + slownessCostMs(candidate);
                }))
        .map(ranked::get);
  }

  /** Returns the difference to an engine of the usual speed, for the waiting and the new prompt. */
  private static double slownessCostMs(Candidate candidate) {
    double loadMs = loadCostMs(candidate.load(), candidate.target().maxConcurrentRequests());
    return (candidate.slowness() - 1) * (loadMs + WAITING_REQUEST_COST_MS);
  }

  private static boolean canServeSoon(Candidate candidate) {
    return switch (candidate.availability()) {
      case RESIDENT, LOADING -> true;
      case LOAD_REQUESTED, STALE, WARM, COLD, NO_MODEL -> candidate.canLoad();
    };
  }

  private static double costAtRankMs(Candidate candidate, int rank, String domain) {
    return engineCostMs(candidate, domain) + rank * costPerRankMs(candidate);
  }

  /** Returns the target of the least cost of a plain service; ties go to the lowest id. */
  public static Optional<Candidate> choosePlainTarget(String domain, List<Candidate> candidates) {
    return withRelativePenalties(candidates).stream()
        .min(
            Comparator.comparingDouble(
                    (Candidate candidate) -> plainTargetCostMs(candidate, domain))
                .thenComparing(candidate -> candidate.target().id()));
  }

  /**
   * Subtracts the least penalty from all of them: failures that all targets share must not move
   * requests to other targets.
   */
  private static List<Candidate> withRelativePenalties(List<Candidate> candidates) {
    double minPenaltyMs = candidates.stream().mapToDouble(Candidate::penaltyMs).min().orElse(0);
    return candidates.stream()
        .map(candidate -> candidate.withPenaltyMs(candidate.penaltyMs() - minPenaltyMs))
        .toList();
  }

  private static double costPerRankMs(Candidate candidate) {
    return candidate.isResident() ? 1 : RANK_COST_MS;
  }

  private static double engineCostMs(Candidate candidate, String domain) {
    return loadCostMs(candidate.load(), candidate.target().maxConcurrentRequests())
        + residencyCostMs(candidate)
        + candidate.penaltyMs()
        + candidate.sendDelayMs()
        + domainCostMs(candidate, domain);
  }

  /** Returns the delay of a request by those that are at an engine of the usual speed. */
  static double loadCostMs(TargetLoad load, int maxConcurrentRequests) {
    double overloadMs = Math.max(0, load.total() - maxConcurrentRequests) * WAITING_REQUEST_COST_MS;
    return load.waiting() * WAITING_REQUEST_COST_MS
        + load.started() * RUNNING_REQUEST_COST_MS
        + overloadMs;
  }

  private static double residencyCostMs(Candidate candidate) {
    double queueMs = candidate.queuedLoads() * QUEUED_LOAD_COST_MS;
    return switch (candidate.availability()) {
      case RESIDENT -> 0;
      case LOADING, LOAD_REQUESTED -> REMAINING_LOAD_COST_MS;
      case STALE -> VERSION_REPLACEMENT_COST_MS;
      case WARM -> WARM_LOAD_COST_MS + queueMs;
      case COLD -> COLD_LOAD_COST_MS + queueMs;
      case NO_MODEL -> MODEL_LOAD_COST_MS + queueMs;
    };
  }

  private static double plainTargetCostMs(Candidate candidate, String domain) {
    double utilization =
        (double) candidate.load().total() / Math.max(1, candidate.target().maxConcurrentRequests());
    return utilization * WAITING_REQUEST_COST_MS
        + candidate.penaltyMs()
        + candidate.sendDelayMs()
        + domainCostMs(candidate, domain);
  }

  private static double domainCostMs(Candidate candidate, String domain) {
    return candidate.target().domain().equals(domain) ? 0 : OTHER_DOMAIN_COST_MS;
  }
}
