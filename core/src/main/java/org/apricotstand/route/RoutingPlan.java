package org.apricotstand.route;

import com.google.common.collect.ImmutableListMultimap;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the configuration: routes and the services behind them.
 *
 * <pre>{@code
 * Optional<Route> route = plan.find("shop.example:80", "/orders/7");
 * }</pre>
 */
public final class RoutingPlan {

  private final long version;
  private final Map<String, ServiceSpec> services;
  private final CallerLimits limits;
  private final ImmutableListMultimap<String, Route> routesByHost;

  /** Creates a plan; of several routes with the same host and prefix the first one counts. */
  public RoutingPlan(
      long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
    this.version = version;
    this.limits = limits;
    this.services =
        services.stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    ServiceSpec::name, Function.identity(), (first, second) -> first));
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparingInt((Route route) -> route.prefix().length()).reversed())
            .collect(
                ImmutableListMultimap.toImmutableListMultimap(Route::host, Function.identity()));
  }

  /** Returns the version of the configuration; newer ones are greater. */
  public long version() {
    return version;
  }

  /** Returns the bounds on what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the service of a name. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /**
   * Returns the route of the longest prefix that begins the path.
   *
   * @param host host as the caller sent it, possibly with a port
   * @param path path, possibly with a query
   */
  public Optional<Route> find(String host, String path) {
    return routesByHost.get(normalized(host)).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  private static String normalized(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
