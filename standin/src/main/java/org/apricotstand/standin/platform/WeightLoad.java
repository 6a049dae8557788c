package org.apricotstand.standin.platform;

/**
 * One load of adapter weights.
 *
 * @param adapterVersion adapter version, or empty when the request names none
 * @param requestedMs monotonic time of the request in milliseconds
 * @param startedMs monotonic time at which the rate limit lets the load start; later than the
 *     request when demand exceeds the rate
 * @param doneMs monotonic time at which the load is complete
 * @param inFlight number of loads in flight when it was requested, including this one
 */
public record WeightLoad(
    String adapterVersion, long requestedMs, long startedMs, long doneMs, int inFlight) {}
