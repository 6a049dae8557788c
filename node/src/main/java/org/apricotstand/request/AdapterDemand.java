package org.apricotstand.request;

import org.apricotstand.residency.AdapterKey;

/** Tells the owners of engines what requests need; calls return at once. */
public interface AdapterDemand {

  /**
   * Asks the owner of an engine to load an adapter.
   *
   * @param deadlineMs when the request gives up, monotonic
   */
  void want(String engine, AdapterKey key, long version, long deadlineMs);

  /** Tells the owner that its engine refused a request for an adapter that it should hold. */
  void missing(String engine, AdapterKey key);
}
