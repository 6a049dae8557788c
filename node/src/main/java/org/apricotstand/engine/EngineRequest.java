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
    ScheduledRequest scheduled, String path, String traceparent, byte[] body) {}
