package org.apricotstand.route;

/**
 * One of the services among which a route splits its requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the sum of the weights of the route
 */
public record WeightedService(String service, double weight) {}
