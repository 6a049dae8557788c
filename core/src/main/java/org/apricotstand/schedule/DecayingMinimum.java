package org.apricotstand.schedule;

/**
 * Low estimate of a duration: a shorter sample replaces the estimate, a longer one raises it
 * slowly. A refusal based on a low estimate doesn't refuse a request that would be in time with the
 * average duration.
 */
final class DecayingMinimum {

  /** Fraction of the difference by which a longer sample raises the estimate. */
  private static final double RISE_FACTOR = 0.02;

  private double estimateMs;
  private boolean hasSample;

  void add(long sampleMs) {
    if (!hasSample || sampleMs < estimateMs) {
      estimateMs = sampleMs;
      hasSample = true;
    } else {
      estimateMs += RISE_FACTOR * (sampleMs - estimateMs);
    }
  }

  /** Returns the estimate in milliseconds, 0 if there is no sample. */
  long estimateMs() {
    return (long) estimateMs;
  }
}
