package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;

/** Something that the owner has to do for the scheduler. */
public sealed interface SchedulerAction {

  /** Sends the request to the engine. */
  record Dispatch(ScheduledRequest request) implements SchedulerAction {}

  /** Orders the engine to load an adapter version; the result names the same order. */
  record Load(AdapterVersion adapterVersion, long order) implements SchedulerAction {}

  /** Orders the engine to unload an adapter version. */
  record Unload(AdapterVersion adapterVersion, long order) implements SchedulerAction {}

  /** Refuses a request that is out of the queue and was never dispatched. */
  record Refuse(ScheduledRequest request, Failure failure) implements SchedulerAction {}

  /** Ends a dispatched request whose engine restarted or was lost; its outcome is unknown. */
  record Abandon(ScheduledRequest request, Failure failure) implements SchedulerAction {}

  /** Cancels a dispatched request at the engine. */
  record Cancel(RequestId id) implements SchedulerAction {}
}
