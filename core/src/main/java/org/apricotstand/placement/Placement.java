package org.apricotstand.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/**
 * Chooses the engine that serves a request for an adapter version. Confined to the control thread.
 *
 * <pre>{@code
 * Optional<TargetId> target = placement.choose(adapterVersion, engines, usable, nowMs);
 * placement.recordSent(target.get());
 * // at the end of the answer:
 * placement.recordEnd(target.get());
 * placement.recordEngineState(target.get(), waiting + running, resident, nowMs);
 * }</pre>
 */
public final class Placement {

  private static final long POPULARITY_HALF_LIFE_MS = 20_000;

  /** Maximum number of candidate engines for an adapter, however popular it is. */
  private static final int MAX_CANDIDATES = 64;

  /**
   * Requests added to the total when the traffic share of an adapter is computed, so that few
   * observed requests don't make an adapter look popular.
   */
  private static final double PRIOR_REQUESTS = 20;

  /** A candidate is skipped when its load is above this multiple of the mean load. */
  private static final double LOAD_BOUND_FACTOR = 1.25;

  /**
   * Multiple of the batch size limit by which the bound is higher for an engine that has to load
   * the adapter first. Each additional engine costs another load, and loads are scarcer than
   * capacity in a batch.
   */
  private static final double LOADING_ALLOWANCE_BATCHES = 1;

  private final PlacementPolicy policy;
  private final RandomGenerator random;
  private final EngineLoads loads = new EngineLoads();
  private final DecayingCounts<AdapterVersion> popularity =
      new DecayingCounts<>(POPULARITY_HALF_LIFE_MS);

  /** Creates a placement without any recorded load or resident adapters. */
  public Placement(PlacementPolicy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Chooses an engine for one request and counts the request towards the popularity of its adapter.
   * Returns an empty result if no engine is usable.
   *
   * @param usable returns whether an engine may be chosen; false for example for an engine that is
   *     draining or that an earlier attempt used
   */
  public Optional<TargetId> choose(
      AdapterVersion adapterVersion, EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    popularity.add(adapterVersion, nowMs);
    int index =
        switch (policy) {
          case PlacementPolicy.Affinity affinity ->
              chooseByAffinity(adapterVersion, engines, usable, nowMs);
          case PlacementPolicy.LeastLoadedLru leastLoaded ->
              chooseLeastLoaded(engines, usable, nowMs);
          case PlacementPolicy.RandomEngine randomEngine -> chooseRandom(engines, usable);
        };
    return index < 0 ? Optional.empty() : Optional.of(engines.id(index));
  }

  /** Records that a request was sent to an engine. */
  public void recordSent(TargetId target) {
    loads.recordSent(target);
  }

  /** Records that a request to an engine ended. */
  public void recordEnd(TargetId target) {
    loads.recordEnd(target);
  }

  /**
   * Records the state of an engine that a reply carried.
   *
   * @param requests number of requests that wait or run at the engine
   * @param resident adapter versions in its slots
   */
  public void recordEngineState(
      TargetId target, int requests, Collection<AdapterVersion> resident, long nowMs) {
    loads.recordEngineState(target, requests, resident, nowMs);
  }

  /** Removes the recorded state of engines that are not in the set. */
  public void retain(EngineSet engines) {
    loads.retain(engines.ids());
  }

  /**
   * Returns, in this order of preference: a candidate that holds the adapter and is below the load
   * bound, another engine for which both are true, a candidate whose load allows it to load the
   * adapter, the least loaded candidate, or the least loaded engine of all; -1 if none is usable.
   */
  private int chooseByAffinity(
      AdapterVersion adapterVersion, EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    int candidates = candidateCount(adapterVersion, engines.size(), nowMs);
    int[] ranking = engines.ranking(adapterVersion, candidates);
    double bound =
        Math.max(
            1, LOAD_BOUND_FACTOR * loads.totalRequests() / Math.max(1, engines.totalMaxBatch()));
    var holders = loads.holders(adapterVersion);
    int fallback = -1;
    double fallbackLoad = Double.MAX_VALUE;
    int loadCandidate = -1;
    for (int i = 0; i < candidates; i++) {
      int index = ranking[i];
      TargetId id = engines.id(index);
      if (!usable.test(id)) {
        continue;
      }
      double relativeLoad = loads.estimatedRequests(id, nowMs) / engines.maxBatch(index);
      if (holders.contains(id) && relativeLoad < bound) {
        return index;
      }
      if (loadCandidate < 0 && relativeLoad < bound + LOADING_ALLOWANCE_BATCHES) {
        loadCandidate = index;
      }
      if (relativeLoad < fallbackLoad) {
        fallback = index;
        fallbackLoad = relativeLoad;
      }
    }
    int holder = leastLoadedHolder(holders, engines, usable, bound, nowMs);
    if (holder >= 0) {
      return holder;
    }
    if (loadCandidate >= 0) {
      return loadCandidate;
    }
    return fallback >= 0 ? fallback : chooseLeastLoaded(engines, usable, nowMs);
  }

  /** Returns the least loaded engine below the bound that holds the adapter, or -1. */
  private int leastLoadedHolder(
      Collection<TargetId> holders,
      EngineSet engines,
      Predicate<TargetId> usable,
      double bound,
      long nowMs) {
    int best = -1;
    double bestLoad = bound;
    for (TargetId id : holders) {
      int index = engines.indexOf(id);
      if (index >= 0 && usable.test(id)) {
        double relativeLoad = loads.estimatedRequests(id, nowMs) / engines.maxBatch(index);
        if (relativeLoad < bestLoad || (relativeLoad == bestLoad && index < best)) {
          best = index;
          bestLoad = relativeLoad;
        }
      }
    }
    return best;
  }

  /**
   * Returns the number of candidate engines: two for an unpopular adapter, and more in proportion
   * to its share of the traffic.
   */
  private int candidateCount(AdapterVersion adapterVersion, int engines, long nowMs) {
    double share =
        popularity.value(adapterVersion, nowMs) / (popularity.total(nowMs) + PRIOR_REQUESTS);
    int wanted = 1 + (int) Math.ceil(2 * share * engines);
    return Math.min(engines, Math.min(MAX_CANDIDATES, wanted));
  }

  private int chooseLeastLoaded(EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    int best = -1;
    double bestLoad = Double.MAX_VALUE;
    int ties = 0;
    for (int i = 0; i < engines.size(); i++) {
      double relativeLoad = loads.estimatedRequests(engines.id(i), nowMs) / engines.maxBatch(i);
      if (relativeLoad > bestLoad || !usable.test(engines.id(i))) {
        continue;
      }
      ties = relativeLoad == bestLoad ? ties + 1 : 1;
      // Reservoir sampling: each of the engines with equal load is chosen with equal probability.
      if (relativeLoad < bestLoad || random.nextInt(ties) == 0) {
        best = i;
        bestLoad = relativeLoad;
      }
    }
    return best;
  }

  private int chooseRandom(EngineSet engines, Predicate<TargetId> usable) {
    int chosen = -1;
    int seen = 0;
    for (int i = 0; i < engines.size(); i++) {
      if (usable.test(engines.id(i))) {
        seen++;
        chosen = random.nextInt(seen) == 0 ? i : chosen;
      }
    }
    return chosen;
  }
}
