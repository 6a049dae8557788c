package org.apricotstand.claim;

/**
 * A claim row as the table service holds it.
 *
 * @param version number that grows with each write of the row
 */
public record StoredClaim(ClaimRow row, long version) {}
