package org.apricotstand.order;

/**
 * What the holder of a lease says of it.
 *
 * @param rowVersion version of the lease's row when it was last renewed
 * @param remainingMs time until the lease ends unless the row changes; 0 when it has ended
 */
public record LeaseStanding(long rowVersion, long remainingMs) {}
