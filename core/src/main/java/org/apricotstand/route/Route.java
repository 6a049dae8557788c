package org.apricotstand.route;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * How requests of one host and path prefix are served.
 *
 * @param name name of the route
 * @param host host in lower case
 * @param prefix path prefix; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time a request is kept waiting
 * @param targetLatencyMs time within which an answer has its full worth
 * @param patienceMs time after which callers leave that got no byte of an answer
 * @param maxAttempts most targets that may run one request
 * @param rank 0 is the most urgent
 * @param resumable whether a stream may go on at another target
 * @param services where requests go
 */
public record Route(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    long patienceMs,
    int maxAttempts,
    int rank,
    boolean resumable,
    List<WeightedService> services) {

  /** Copies the services and checks that there is one. */
  public Route {
    services = List.copyOf(services);
    checkArgument(!services.isEmpty(), "route %s has no service", name);
  }

  /** Returns whether a request may be sent again after its answer was lost. */
  public boolean isRepeatable() {
    return kind == RequestKind.IDEMPOTENT;
  }

  /**
   * Returns the service for a request.
   *
   * @param draw number from 0 to 1, uniform over requests
   */
  public String serviceFor(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService candidate : services) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate.service();
      }
    }
    return services.getLast().service();
  }
}
