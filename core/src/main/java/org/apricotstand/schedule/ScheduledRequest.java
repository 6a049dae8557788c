package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;

/**
 * A request in an owner's queue.
 *
 * @param id identifier of the request
 * @param attempt number of the attempt, from 1
 * @param adapterVersion adapter version that must answer
 * @param requestClass priority class
 * @param caller name of the caller, for fair shares
 * @param arrivedMs when the owner received it, monotonic
 * @param deadlineMs when its answer is due, monotonic
 * @param alone whether nothing else may run in the engine's batch with it, as for a suspect
 */
public record ScheduledRequest(
    RequestId id,
    int attempt,
    AdapterVersion adapterVersion,
    RequestClass requestClass,
    String caller,
    long arrivedMs,
    long deadlineMs,
    boolean alone) {

  /** Creates a request that may share the batch with others. */
  public ScheduledRequest(
      RequestId id,
      int attempt,
      AdapterVersion adapterVersion,
      RequestClass requestClass,
      String caller,
      long arrivedMs,
      long deadlineMs) {
    this(id, attempt, adapterVersion, requestClass, caller, arrivedMs, deadlineMs, false);
  }
}
