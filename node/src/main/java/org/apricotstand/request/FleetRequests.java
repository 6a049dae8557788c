package org.apricotstand.request;

import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.SlotEvent;

/** What the course of a request asks of the rest of the fleet; calls return at once. */
public interface FleetRequests {

  /** Asks the owner of an engine to load an adapter for which a request waits. */
  void want(String engine, SlotEvent.LoadRequested wanted);

  /** Tells the owner that its engine refused a request for an adapter that it should hold. */
  void missing(String engine, AdapterKey key);

  /**
   * Tells all instances that a target crashed while it ran a request.
   *
   * @param fingerprint what all sendings of the request have in common
   * @param incarnation the start of the target that crashed
   */
  void crashed(String fingerprint, String incarnation);
}
