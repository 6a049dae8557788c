package org.apricotstand.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * Settings for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param prefix path prefix; begins and ends with a slash
 * @param kind whether requests may run more than once and are answered by a stream
 * @param timeoutMs maximum time from the arrival of a request to the end of its answer
 * @param targetLatencyMs time within which an answer is on time
 * @param firstByteTimeoutMs time after which callers disconnect if they got no byte of an answer
 * @param maxAttempts maximum number of attempts for one request
 * @param priority priority; 0 is the most urgent
 * @param resumable whether a broken stream may be resumed at another target
 * @param services services among which requests are split, at least one
 * @param authExempt whether requests need no API key although the configuration has tenants
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    long firstByteTimeoutMs,
    int maxAttempts,
    int priority,
    boolean resumable,
    List<WeightedService> services,
    boolean authExempt) {

  /** Creates a route whose requests need an API key if the configuration has tenants. */
  public Route(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      long timeoutMs,
      long targetLatencyMs,
      long firstByteTimeoutMs,
      int maxAttempts,
      int priority,
      boolean resumable,
      List<WeightedService> services) {
    this(
        name,
        host,
        prefix,
        kind,
        timeoutMs,
        targetLatencyMs,
        firstByteTimeoutMs,
        maxAttempts,
        priority,
        resumable,
        services,
        false);
  }

  /** Makes an immutable copy of the services, of which there must be at least one. */
  public Route {
    services = List.copyOf(services);
    checkArgument(!services.isEmpty(), "route %s has no service", name);
  }

  /** Returns whether a request may be run again after its answer was lost. */
  public boolean isIdempotent() {
    return kind == RequestKind.IDEMPOTENT;
  }

  /**
   * Chooses the service for a request by the weights of the services.
   *
   * @param randomFraction random number from 0 to 1, uniformly distributed over the requests
   */
  public String serviceFor(double randomFraction) {
    double totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
    double remainingWeight = randomFraction * totalWeight;
    for (WeightedService candidate : services) {
      remainingWeight -= candidate.weight();
      if (remainingWeight < 0) {
        return candidate.service();
      }
    }
    return services.getLast().service();
  }
}
