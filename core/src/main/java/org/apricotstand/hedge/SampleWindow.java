package org.apricotstand.hedge;

import java.util.Arrays;

/**
 * Keeps the latest samples and returns quantiles of them. Answers the load in which all targets
 * become slow: the samples of that time replace the older ones, and the quantile follows.
 */
final class SampleWindow {

  private static final int SIZE = 256;

  /** Samples after which a quantile is computed again; sorting at each one would cost too much. */
  private static final int REFRESH_INTERVAL = 16;

  private final double[] samples = new double[SIZE];
  private int count;
  private int next;
  private int addedSinceRefresh;
  private double[] sorted = {};

  void add(double sample) {
    samples[next] = sample;
    next = (next + 1) % SIZE;
    count = Math.min(count + 1, SIZE);
    addedSinceRefresh++;
  }

  boolean hasSamples(int required) {
    return count >= required;
  }

  /** Returns the least sample that at least the given fraction of samples does not exceed. */
  double quantile(double fraction) {
    if (sorted.length == 0 || addedSinceRefresh >= REFRESH_INTERVAL) {
      sorted = Arrays.copyOf(samples, count);
      Arrays.sort(sorted);
      addedSinceRefresh = 0;
    }
    int rank = (int) Math.ceil(fraction * sorted.length);
    return sorted[Math.clamp(rank - 1, 0, sorted.length - 1)];
  }
}
