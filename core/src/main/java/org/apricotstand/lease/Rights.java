package org.apricotstand.lease;

/**
 * What an instance may do with an engine that it owns.
 *
 * @param fencing fencing number
 * @param dispatchUntilMs requests for resident adapters may be sent before this monotonic time
 * @param commandUntilMs loads and evictions may be ordered before this monotonic time
 */
public record Rights(long fencing, long dispatchUntilMs, long commandUntilMs) {}
