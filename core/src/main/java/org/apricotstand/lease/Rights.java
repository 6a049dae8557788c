package org.apricotstand.lease;

/**
 * What an instance may do with an engine that it owns.
 *
 * @param fencing fencing token under which the instance owns the engine
 * @param dispatchUntilMs monotonic time before which requests for resident adapters may be sent
 * @param commandUntilMs monotonic time before which load and unload commands may be sent
 */
public record Rights(long fencing, long dispatchUntilMs, long commandUntilMs) {}
