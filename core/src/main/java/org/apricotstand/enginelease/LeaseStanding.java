package org.apricotstand.enginelease;

/**
 * State of a lease as its holder reports it to the other instances.
 *
 * @param rowVersion version of the lease's row after the last confirmed renewal
 * @param remainingMs time until the lease ends if it is not renewed; 0 when it has ended
 */
public record LeaseStanding(long rowVersion, long remainingMs) {}
