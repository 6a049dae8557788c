package org.apricotstand.residency;

/** How much an adapter is used, over all instances. */
public interface AdapterUse {

  /** Returns whether a request runs on the adapter at the engine in question. */
  boolean isRunning(AdapterKey key);

  /** Returns the time after which each use by any instance has been reported, in milliseconds. */
  long reportLagMs();

  /** Returns the declared version of the adapter; 0 when none was declared. */
  long declaredVersion(AdapterKey key);

  /** Returns the recent number of requests for the adapter. */
  double popularity(AdapterKey key);
}
