package org.apricotstand.route;

import com.google.common.collect.ImmutableListMultimap;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apricotstand.quota.QuotaLimit;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.tenant.TenantKeys;

/**
 * One version of the configuration: the routes, their services, the limits for callers and the
 * tenants.
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
  private final Optional<TenantKeys> tenantKeys;

  /** Creates a plan without tenants, whose requests need no API key. */
  public RoutingPlan(
      long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
    this(version, routes, services, limits, Optional.empty());
  }

  /**
   * Creates a plan; of several routes with the same host and prefix, the first one is used.
   *
   * @param tenantKeys tenants and their keys; empty if requests need no API key
   */
  public RoutingPlan(
      long version,
      List<Route> routes,
      List<ServiceSpec> services,
      CallerLimits limits,
      Optional<TenantKeys> tenantKeys) {
    this.version = version;
    this.limits = limits;
    this.tenantKeys = tenantKeys;
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

  /** Returns the names of all routes. */
  public Set<String> routeNames() {
    return routesByHost.values().stream().map(Route::name).collect(Collectors.toSet());
  }

  /** Returns the version of the configuration; newer versions are greater. */
  public long version() {
    return version;
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the service with the given name, if there is one. */
  public Optional<ServiceSpec> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns all services by name. */
  public Map<String, ServiceSpec> services() {
    return services;
  }

  /** Returns whether requests need an API key, except on routes that are exempt. */
  public boolean hasTenants() {
    return tenantKeys.isPresent();
  }

  /** Returns all tenants in the order of the configuration. */
  public Collection<Tenant> tenants() {
    return tenantKeys.map(TenantKeys::tenants).orElse(List.of());
  }

  /** Returns the limits of the tenants that have one, by name. */
  public Map<String, QuotaLimit> quotaLimits() {
    return tenants().stream()
        .filter(tenant -> tenant.quota().isLimited())
        .collect(
            Collectors.toUnmodifiableMap(
                Tenant::name,
                tenant -> new QuotaLimit(tenant.quota().ratePerS(), tenant.quota().burst())));
  }

  /** Returns the tenant of an API key, if the key belongs to one; takes constant time. */
  public Optional<Tenant> findTenant(String apiKey) {
    return tenantKeys.flatMap(keys -> keys.find(apiKey));
  }

  /**
   * Returns the route with the longest prefix that matches the path.
   *
   * @param host host as the caller sent it, possibly with a port
   * @param path path as the caller sent it, possibly with a query
   */
  public Optional<Route> find(String host, String path) {
    return routesByHost.get(normalizeHost(host)).stream()
        .filter(route -> path.startsWith(route.prefix()))
        .findFirst();
  }

  /** Returns the host in lower case and without the port, as routes name it. */
  public static String normalizeHost(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
