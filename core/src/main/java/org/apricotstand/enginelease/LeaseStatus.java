package org.apricotstand.enginelease;

/**
 * Status of a lease as its holder reports it to the other instances.
 *
 * @param rowVersion version of the lease's row after the last confirmed renewal
 * @param remainingMs time until the lease expires if it is not renewed; 0 when it has expired
 */
public record LeaseStatus(long rowVersion, long remainingMs) {}
