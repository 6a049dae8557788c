package org.apricotstand.placement;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts occurrences per key with exponential decay: a count halves in each half-life. Keys whose
 * count has become negligible are removed.
 *
 * <pre>{@code
 * counts.add(adapterVersion, nowMs);
 * double popularity = counts.value(adapterVersion, nowMs);
 * }</pre>
 */
public final class DecayingCounts<K> {

  /** Keys with a count below this value are removed; it is too small to influence a decision. */
  private static final double NEGLIGIBLE_COUNT = 0.01;

  private final double halfLifeMs;
  private final Map<K, Count> counts = new HashMap<>();
  private final Count total = new Count();
  private long nextSweepMs;

  private static final class Count {
    private double value;
    private long updatedMs;
  }

  /**
   * Creates empty counts.
   *
   * @param halfLifeMs time in which a count halves
   */
  public DecayingCounts(long halfLifeMs) {
    checkArgument(halfLifeMs > 0, "half-life must be positive: %s", halfLifeMs);
    this.halfLifeMs = halfLifeMs;
  }

  /** Adds one occurrence of a key. */
  public void add(K key, long nowMs) {
    add(key, 1, nowMs);
  }

  /** Adds several occurrences of a key. */
  public void add(K key, int occurrences, long nowMs) {
    sweep(nowMs);
    increase(counts.computeIfAbsent(key, unseen -> new Count()), occurrences, nowMs);
    increase(total, occurrences, nowMs);
  }

  /** Returns the decayed count of a key, 0 for an unknown key. */
  public double value(K key, long nowMs) {
    Count count = counts.get(key);
    return count == null ? 0 : decayedValue(count, nowMs);
  }

  /** Returns the decayed sum over all keys. */
  public double total(long nowMs) {
    return decayedValue(total, nowMs);
  }

  /** Returns the number of keys that have not been removed. */
  public int size() {
    return counts.size();
  }

  private void increase(Count count, int occurrences, long nowMs) {
    count.value = decayedValue(count, nowMs) + occurrences;
    count.updatedMs = nowMs;
  }

  private double decayedValue(Count count, long nowMs) {
    return count.value * Math.pow(0.5, (nowMs - count.updatedMs) / halfLifeMs);
  }

  private void sweep(long nowMs) {
    if (nowMs >= nextSweepMs) {
      counts.values().removeIf(count -> decayedValue(count, nowMs) < NEGLIGIBLE_COUNT);
      nextSweepMs = nowMs + (long) halfLifeMs;
    }
  }
}
