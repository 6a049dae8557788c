package org.apricotstand.schedule;

import org.apricotstand.budget.LoadLimiter;

/** Allows every load and counts the loads in flight. */
final class UnlimitedLoadLimiter implements LoadLimiter {

  private int inFlight;

  int inFlight() {
    return inFlight;
  }

  @Override
  public boolean mayStartLoad(long nowMs) {
    return true;
  }

  @Override
  public boolean tryStartLoad(long nowMs) {
    inFlight++;
    return true;
  }

  @Override
  public void recordLoadEnd(long nowMs) {
    inFlight--;
  }
}
