package org.apricotstand.route;

import java.util.Optional;

/**
 * A group of equal targets.
 *
 * @param name name of the service
 * @param maxConnections connections that one target accepts from all callers together
 * @param engine what its engines hold; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
