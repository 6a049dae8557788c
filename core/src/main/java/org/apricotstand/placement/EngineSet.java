package org.apricotstand.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.TargetId;

/**
 * Engines that can serve a model, indexed for placement: names are hashed once, and the ranking of
 * an adapter version is cached. A change of the engines requires a new set; rendezvous hashing
 * gives most adapters the same candidates as before. Not thread-safe.
 */
public final class EngineSet {

  /** Maximum number of cached rankings; the cache is cleared when it is full. */
  private static final int MAX_RANKINGS = 32_768;

  private static final double TWO_POW_53 = 0x1p53;
  private static final int SHIFT_TO_53_BITS = 11;

  private final List<TargetId> ids;
  private final Map<TargetId, Integer> indexes = new HashMap<>();
  private final int[] maxBatch;
  private final double[] weights;
  private final long[] hashes;
  private final boolean sameWeights;
  private final long totalMaxBatch;
  private final Map<AdapterVersion, int[]> rankings = new HashMap<>();

  private EngineSet(List<Target> engines) {
    ids = engines.stream().map(engine -> new TargetId(engine.name())).toList();
    for (int i = 0; i < ids.size(); i++) {
      indexes.put(ids.get(i), i);
    }
    maxBatch = engines.stream().mapToInt(engine -> Math.max(1, engine.maxBatch())).toArray();
    weights = engines.stream().mapToDouble(engine -> Math.max(1, engine.slots())).toArray();
    hashes = ids.stream().mapToLong(id -> hash(id.value())).toArray();
    sameWeights = Arrays.stream(weights).distinct().count() <= 1;
    totalMaxBatch = Arrays.stream(maxBatch).sum();
  }

  /** Creates a set of engines; the order of the collection does not matter. */
  public static EngineSet of(Collection<Target> engines) {
    return new EngineSet(engines.stream().sorted(Comparator.comparing(Target::name)).toList());
  }

  /** Returns the number of engines. */
  public int size() {
    return ids.size();
  }

  /** Returns the engine at an index. */
  public TargetId id(int index) {
    return ids.get(index);
  }

  /** Returns the index of an engine, or -1 when it is not in the set. */
  int indexOf(TargetId id) {
    return indexes.getOrDefault(id, -1);
  }

  /** Returns all engines, sorted by name. */
  List<TargetId> ids() {
    return ids;
  }

  /** Returns the batch size limit of the engine at an index. */
  int maxBatch(int index) {
    return maxBatch[index];
  }

  /** Returns the sum of the batch size limits of all engines. */
  long totalMaxBatch() {
    return totalMaxBatch;
  }

  /**
   * Returns the indexes of the engines with the highest scores for an adapter version, highest
   * first. The array has at least the given number of entries, or one for each engine if there are
   * fewer engines.
   */
  public int[] ranking(AdapterVersion adapterVersion, int count) {
    int required = Math.min(count, size());
    int[] cached = rankings.get(adapterVersion);
    if (cached != null && cached.length >= required) {
      return cached;
    }
    if (rankings.size() >= MAX_RANKINGS) {
      rankings.clear();
    }
    int[] computed = rank(adapterVersion, required);
    rankings.put(adapterVersion, computed);
    return computed;
  }

  private int[] rank(AdapterVersion adapterVersion, int count) {
    long key = hash(adapterVersion.toString());
    int[] best = new int[count];
    double[] scores = new double[count];
    int filled = 0;
    for (int i = 0; i < hashes.length; i++) {
      double score = score(key, i);
      if (filled < count || score > scores[filled - 1]) {
        int position = filled < count ? filled++ : filled - 1;
        while (position > 0 && score > scores[position - 1]) {
          scores[position] = scores[position - 1];
          best[position] = best[position - 1];
          position--;
        }
        scores[position] = score;
        best[position] = i;
      }
    }
    return best;
  }

  /** Returns the score of weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1). */
  private double score(long key, int index) {
    double uniform = ((mix(key ^ hashes[index]) >>> SHIFT_TO_53_BITS) + 0.5) / TWO_POW_53;
    // With equal weights, u alone gives the same ranking as the logarithm.
    return sameWeights ? uniform : -weights[index] / Math.log(uniform);
  }

  private static long hash(String name) {
    return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
  }

  /** Applies the finalizer of SplitMix64. */
  private static long mix(long value) {
    long mixed = value;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
