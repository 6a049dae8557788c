package org.apricotstand.schedule;

/**
 * Lower estimate of a duration: follows a shorter sample at once and a longer one slowly. Refusing
 * by a lower estimate never refuses a request that an average one would still have answered.
 */
final class ShortestTime {

  private static final double RISE = 0.02;

  private double estimateMs;
  private boolean known;

  void add(long sampleMs) {
    if (!known || sampleMs < estimateMs) {
      estimateMs = sampleMs;
      known = true;
    } else {
      estimateMs += RISE * (sampleMs - estimateMs);
    }
  }

  /** Returns the estimate, 0 while there is no sample. */
  long estimateMs() {
    return (long) estimateMs;
  }
}
