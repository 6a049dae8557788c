package org.apricotstand.request;

import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.SlotEvent;

/** Sends messages of the request path to the rest of the fleet. All calls return immediately. */
public interface FleetNotifier {

  /** Asks the owner of an engine to load the adapter that a request waits for. */
  void requestLoad(String engine, SlotEvent.LoadRequested loadRequest);

  /** Tells the owner of an engine that the engine lacks an adapter that it was reported to hold. */
  void reportMissing(String engine, AdapterKey key);

  /**
   * Tells all instances that a target crashed while it ran a request.
   *
   * @param fingerprint hash that is equal for all attempts of the request, and each time that its
   *     caller sends it
   * @param incarnation identifier of the run of the target that crashed
   */
  void reportCrash(String fingerprint, String incarnation);
}
