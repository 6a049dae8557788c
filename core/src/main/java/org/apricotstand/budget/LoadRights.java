package org.apricotstand.budget;

/** Rights to start loads from the weight store. */
public interface LoadRights {

  /** Returns whether a load may start now; a refusal counts as unmet demand. */
  boolean mayStartLoad(long nowMs);

  /** Takes the right to start one load, if there is one. */
  boolean tryStartLoad(long nowMs);

  /** Gives the place of one load in flight back. */
  void loadEnded(long nowMs);
}
