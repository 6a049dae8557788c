package org.apricotstand.serve;

import org.apricotstand.fleet.FleetService;
import org.apricotstand.front.CallerServer;
import org.apricotstand.request.RequestRouter;

/** Drains the services of an instance. */
record InstanceDrainSteps(FleetService fleet, RequestRouter router, CallerServer callers)
    implements DrainSteps {

  @Override
  public void leave(long refuseFromMs, long endMs) {
    fleet.announceLeaving();
    callers.drain();
    router.drain(refuseFromMs, endMs);
  }

  @Override
  public void endRequests() {
    router.endRequests();
  }

  @Override
  public void stopAccepting() {
    callers.stopAccepting();
  }

  @Override
  public void releaseEngines() {
    fleet.releaseEngines();
  }

  @Override
  public int openRequests() {
    return callers.openRequests();
  }

  @Override
  public int activeRequests() {
    return callers.activeRequests();
  }

  @Override
  public int openConnections() {
    return callers.openConnections();
  }

  @Override
  public boolean isReleased() {
    return fleet.isReleased();
  }
}
