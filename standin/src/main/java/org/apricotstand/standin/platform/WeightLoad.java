package org.apricotstand.standin.platform;

/**
 * One load of adapter weights.
 *
 * @param adapterVersion adapter version, or empty when unknown
 * @param requestedMs when it was requested, monotonic
 * @param startedMs when the rate limit let it start; later than requested when demand exceeds the
 *     rate
 * @param doneMs when it was complete
 * @param inFlight loads in flight at its request, itself included
 */
public record WeightLoad(
    String adapterVersion, long requestedMs, long startedMs, long doneMs, int inFlight) {}
