package org.apricotstand.residency;

/** Usage of adapters by the requests of all instances, as seen by the owner of one engine. */
public interface AdapterUsage {

  /** Returns whether any instance has reported a request that uses the adapter at the engine. */
  boolean isInUse(AdapterKey key);

  /**
   * Returns the time in milliseconds within which each use of an adapter by any instance is
   * reported to this one.
   */
  long usageReportLagMs();

  /** Returns the declared version of the adapter; 0 when none is declared. */
  long declaredVersion(AdapterKey key);

  /** Returns the number of requests for the adapter, with recent ones weighted more. */
  double popularity(AdapterKey key);
}
