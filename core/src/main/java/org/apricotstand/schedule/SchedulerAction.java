package org.apricotstand.schedule;

import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestId;

/** Output of {@link TargetScheduler}: an action that the owner has to perform. */
public sealed interface SchedulerAction {

  /** Sends the request to the engine. */
  record Dispatch(ScheduledRequest request) implements SchedulerAction {}

  /** Commands the engine to load an adapter version; the result event has the same command id. */
  record Load(AdapterVersion adapterVersion, long commandId) implements SchedulerAction {}

  /** Commands the engine to unload an adapter version; the result has the same command id. */
  record Unload(AdapterVersion adapterVersion, long commandId) implements SchedulerAction {}

  /** Refuses a request that did not run and is no longer in the queue. */
  record Refuse(ScheduledRequest request, Failure failure) implements SchedulerAction {}

  /** Ends a dispatched request whose engine restarted; its outcome is unknown. */
  record Abandon(ScheduledRequest request, Failure failure) implements SchedulerAction {}

  /** Cancels a dispatched request at the engine. */
  record Cancel(RequestId id) implements SchedulerAction {}
}
