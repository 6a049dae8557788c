package org.apricotstand.placement;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts that lose half of their value in a fixed time. Keys whose count became negligible are
 * forgotten.
 *
 * <pre>{@code
 * counts.add(adapterVersion, nowMs);
 * double popularity = counts.value(adapterVersion, nowMs);
 * }</pre>
 */
public final class DecayingCounts<K> {

  /** Counts below this value no longer influence a decision. */
  private static final double NEGLIGIBLE = 0.01;

  private final double halfLifeMs;
  private final Map<K, Count> counts = new HashMap<>();
  private final Count total = new Count();
  private long nextSweepMs;

  private static final class Count {
    private double value;
    private long atMs;
  }

  /** Creates empty counts. */
  public DecayingCounts(long halfLifeMs) {
    checkArgument(halfLifeMs > 0, "half-life must be positive: %s", halfLifeMs);
    this.halfLifeMs = halfLifeMs;
  }

  /** Counts one occurrence. */
  public void add(K key, long nowMs) {
    add(key, 1, nowMs);
  }

  /** Counts several occurrences. */
  public void add(K key, int occurrences, long nowMs) {
    sweep(nowMs);
    increase(counts.computeIfAbsent(key, unseen -> new Count()), occurrences, nowMs);
    increase(total, occurrences, nowMs);
  }

  /** Returns the decayed count of a key. */
  public double value(K key, long nowMs) {
    Count count = counts.get(key);
    return count == null ? 0 : decayed(count, nowMs);
  }

  /** Returns the decayed count of all keys together. */
  public double total(long nowMs) {
    return decayed(total, nowMs);
  }

  /** Returns the number of keys that are kept. */
  public int size() {
    return counts.size();
  }

  private void increase(Count count, int occurrences, long nowMs) {
    count.value = decayed(count, nowMs) + occurrences;
    count.atMs = nowMs;
  }

  private double decayed(Count count, long nowMs) {
    return count.value * Math.pow(0.5, (nowMs - count.atMs) / halfLifeMs);
  }

  private void sweep(long nowMs) {
    if (nowMs >= nextSweepMs) {
      counts.values().removeIf(count -> decayed(count, nowMs) < NEGLIGIBLE);
      nextSweepMs = nowMs + (long) halfLifeMs;
    }
  }
}
