package org.apricotstand.engine;

import org.apricotstand.schedule.ScheduledRequest;

/**
 * A model request as an engine receives it.
 *
 * @param scheduled identity, adapter version, class and deadline
 * @param path path at the engine
 * @param traceparent W3C trace context, or empty
 * @param body JSON body that names the adapter version
 */
public record EngineRequest(
    ScheduledRequest scheduled, String path, String traceparent, byte[] body) {

  /** Returns this request as a further attempt. */
  public EngineRequest withAttempt(int attempt) {
    ScheduledRequest next =
        new ScheduledRequest(
            scheduled.id(),
            attempt,
            scheduled.adapterVersion(),
            scheduled.requestClass(),
            scheduled.caller(),
            scheduled.arrivedMs(),
            scheduled.deadlineMs(),
            scheduled.alone());
    return new EngineRequest(next, path, traceparent, body);
  }

  /** Returns this request as one that runs alone in the engine's batch. */
  public EngineRequest runningAlone() {
    ScheduledRequest alone =
        new ScheduledRequest(
            scheduled.id(),
            scheduled.attempt(),
            scheduled.adapterVersion(),
            scheduled.requestClass(),
            scheduled.caller(),
            scheduled.arrivedMs(),
            scheduled.deadlineMs(),
            true);
    return new EngineRequest(alone, path, traceparent, body);
  }
}
