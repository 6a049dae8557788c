package org.apricotstand.budget;

/** Limits the rate and the number of concurrent adapter loads from the weight store. */
public interface LoadLimiter {

  /** Returns whether a load may start now; a refusal counts as unmet demand. */
  boolean mayStartLoad(long nowMs);

  /** Starts one load if the limits allow it; returns whether it may run. */
  boolean tryStartLoad(long nowMs);

  /** Records that a started load has ended, so that it no longer counts as in flight. */
  void recordLoadEnd(long nowMs);
}
