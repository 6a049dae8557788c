package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;

/**
 * A request in an owner's queue.
 *
 * @param id identifier of the request
 * @param attempt number of the attempt, from 1
 * @param adapterVersion adapter version that the request is for
 * @param requestClass priority class
 * @param caller name of the caller; a full queue drops a request of the caller that has the most of
 *     them
 * @param arrivedMs monotonic time at which the owner received the request
 * @param deadlineMs monotonic time by which the answer is due
 * @param alone whether no other request may run in the batch with it, because it is suspected of
 *     crashing engines
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
