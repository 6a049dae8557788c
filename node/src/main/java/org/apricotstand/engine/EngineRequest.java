package org.apricotstand.engine;

import org.apricotstand.schedule.ScheduledRequest;

/**
 * A model request as an engine receives it.
 *
 * @param scheduled id, attempt, adapter version, class and deadline of the request
 * @param path HTTP path at the engine
 * @param traceparent W3C trace context; empty if there is none
 * @param body JSON body that names the adapter version
 */
public record EngineRequest(
    ScheduledRequest scheduled, String path, String traceparent, byte[] body) {

  /** Returns a copy of this request with another attempt number. */
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

  /** Returns a copy of this request with the trace context of another hop. */
  public EngineRequest withTraceparent(String newTraceparent) {
    return new EngineRequest(scheduled, path, newTraceparent, body);
  }

  /** Returns a copy of this request that must run alone in the engine's batch. */
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
