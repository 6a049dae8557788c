package org.apricotstand.schedule;

import org.apricotstand.budget.LoadRights;

/** Allows every load and counts the loads in flight. */
final class UnlimitedRights implements LoadRights {

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
  public void loadEnded(long nowMs) {
    inFlight--;
  }
}
