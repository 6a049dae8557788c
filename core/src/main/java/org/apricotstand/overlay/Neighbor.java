package org.apricotstand.overlay;

/**
 * An instance that this one exchanges state with.
 *
 * @param role its part
 * @param domain its failure domain
 */
public record Neighbor(LinkRole role, String domain) {}
