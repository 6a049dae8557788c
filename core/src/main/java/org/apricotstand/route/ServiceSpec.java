package org.apricotstand.route;

import java.util.Optional;

/**
 * A service: a group of interchangeable targets.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections that one target accepts in total
 * @param engine capacity and models of its engines; empty for a plain service
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
