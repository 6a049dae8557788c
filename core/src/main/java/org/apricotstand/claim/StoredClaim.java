package org.apricotstand.claim;

/**
 * Claim row with its version in the table service.
 *
 * @param version number that increases with each write of the row
 */
public record StoredClaim(ClaimRow row, long version) {}
