package org.apricotstand.placement;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/**
 * Chooses the engine that should serve an adapter version. Confined to the control thread.
 *
 * <pre>{@code
 * Optional<TargetId> target = placement.choose(adapterVersion, engines, usable, nowMs);
 * placement.sent(target.get());
 * // at the end of the answer:
 * placement.ended(target.get());
 * placement.learn(target.get(), waiting + running, resident, nowMs);
 * }</pre>
 */
public final class Placement {

  private static final long HALF_LIFE_MS = 20_000;

  /** Candidates of an adapter at most, however popular it is. */
  private static final int MAX_CANDIDATES = 64;

  /** Weight of the prior belief that an adapter is unpopular, in requests. */
  private static final double PRIOR_REQUESTS = 20;

  /** An engine is passed over above this multiple of the mean load. */
  private static final double BOUND = 1.25;

  /**
   * The bound is wider by one batch for an engine that has to load the adapter: each further engine
   * costs a further load, and loads are scarcer than places in a batch.
   */
  private static final double LOADING_ALLOWANCE = 1;

  private final Policy policy;
  private final RandomGenerator random;
  private final EngineLoads loads = new EngineLoads();
  private final DecayingCounts<AdapterVersion> popularity = new DecayingCounts<>(HALF_LIFE_MS);

  /** Creates a placement that knows nothing about the engines yet. */
  public Placement(Policy policy, RandomGenerator random) {
    this.policy = policy;
    this.random = random;
  }

  /**
   * Returns the chosen engine, or nothing when none is usable.
   *
   * @param usable excludes engines, such as leaving ones or those of an earlier attempt
   */
  public Optional<TargetId> choose(
      AdapterVersion adapterVersion, EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    popularity.add(adapterVersion, nowMs);
    int index =
        switch (policy) {
          case Policy.Affinity affinity -> byAffinity(adapterVersion, engines, usable, nowMs);
          case Policy.LeastLoadedLru leastLoaded -> leastLoaded(engines, usable, nowMs);
          case Policy.RandomEngine randomEngine -> anyUsable(engines, usable);
        };
    return index < 0 ? Optional.empty() : Optional.of(engines.id(index));
  }

  /** Notes that a request was sent to an engine. */
  public void sent(TargetId target) {
    loads.sent(target);
  }

  /** Notes that a request to an engine ended. */
  public void ended(TargetId target) {
    loads.ended(target);
  }

  /**
   * Takes what a reply says about its engine.
   *
   * @param requests requests that wait or run there
   * @param resident adapter versions that it holds
   */
  public void learn(
      TargetId target, int requests, Collection<AdapterVersion> resident, long nowMs) {
    loads.learn(target, requests, resident, nowMs);
  }

  /** Forgets the loads of engines that are not in the set. */
  public void retain(EngineSet engines) {
    loads.retain(engines.ids());
  }

  private int byAffinity(
      AdapterVersion adapterVersion, EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    int candidates = candidates(adapterVersion, engines.size(), nowMs);
    int[] ranking = engines.ranking(adapterVersion, candidates);
    double mean = Math.max(1, BOUND * loads.total() / Math.max(1, engines.totalBatch()));
    var holders = loads.holders(adapterVersion);
    int fallback = -1;
    double fallbackLoad = Double.MAX_VALUE;
    int loading = -1;
    for (int i = 0; i < candidates; i++) {
      int index = ranking[i];
      TargetId id = engines.id(index);
      if (!usable.test(id)) {
        continue;
      }
      double relative = loads.estimate(id, nowMs) / engines.maxBatch(index);
      if (holders.contains(id) && relative < mean) {
        return index;
      }
      if (loading < 0 && relative < mean + LOADING_ALLOWANCE) {
        loading = index;
      }
      if (relative < fallbackLoad) {
        fallback = index;
        fallbackLoad = relative;
      }
    }
    int holder = leastLoadedHolder(holders, engines, usable, mean, nowMs);
    if (holder >= 0) {
      return holder;
    }
    if (loading >= 0) {
      return loading;
    }
    return fallback >= 0 ? fallback : leastLoaded(engines, usable, nowMs);
  }

  /** Returns an engine outside of the candidates that holds the adapter and has room, or -1. */
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
        double relative = loads.estimate(id, nowMs) / engines.maxBatch(index);
        if (relative < bestLoad || (relative == bestLoad && index < best)) {
          best = index;
          bestLoad = relative;
        }
      }
    }
    return best;
  }

  /** Two candidates for an unpopular adapter, more by its share of the traffic. */
  private int candidates(AdapterVersion adapterVersion, int engines, long nowMs) {
    double share =
        popularity.value(adapterVersion, nowMs) / (popularity.total(nowMs) + PRIOR_REQUESTS);
    int wanted = 1 + (int) Math.ceil(2 * share * engines);
    return Math.min(engines, Math.min(MAX_CANDIDATES, wanted));
  }

  private int leastLoaded(EngineSet engines, Predicate<TargetId> usable, long nowMs) {
    int best = -1;
    double bestLoad = Double.MAX_VALUE;
    int ties = 0;
    for (int i = 0; i < engines.size(); i++) {
      double relative = loads.estimate(engines.id(i), nowMs) / engines.maxBatch(i);
      if (relative > bestLoad || !usable.test(engines.id(i))) {
        continue;
      }
      ties = relative == bestLoad ? ties + 1 : 1;
      // Reservoir sampling: engines of equal load are equally likely.
      if (relative < bestLoad || random.nextInt(ties) == 0) {
        best = i;
        bestLoad = relative;
      }
    }
    return best;
  }

  private int anyUsable(EngineSet engines, Predicate<TargetId> usable) {
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
