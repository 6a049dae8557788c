package org.apricotstand.hedge;

/**
 * Estimates the usual time of answers by an exponentially weighted average. Answers the load in
 * which a target is slow for some seconds: the average moves slowly, so that the answers of such a
 * period count as late and not as usual.
 */
final class UsualTime {

  /** Number of samples before which a single one has too much weight. */
  private static final int MIN_SAMPLES = 10;

  private static final double WEIGHT = 1.0 / 64;

  /** Maximum weight of a sample relative to the average; one answer of a minute changes little. */
  private static final double MAX_RATIO = 3;

  /** Least time, since times are divided by the average. */
  private static final double MIN_MS = 1;

  private double averageMs;
  private int samples;

  void add(double timeMs) {
    samples = Math.min(samples + 1, MIN_SAMPLES);
    double bounded = isKnown() ? Math.min(timeMs, MAX_RATIO * ms()) : timeMs;
    double weight = samples < MIN_SAMPLES ? 1.0 / samples : WEIGHT;
    averageMs += weight * (bounded - averageMs);
  }

  /** Returns whether there are enough samples for an estimate. */
  boolean isKnown() {
    return samples >= MIN_SAMPLES;
  }

  double ms() {
    return Math.max(MIN_MS, averageMs);
  }
}
