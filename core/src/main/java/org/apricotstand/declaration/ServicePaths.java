package org.apricotstand.declaration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.PlainService;

/**
 * Finds the plain service for a request path. A prefix matches only whole segments, and the longest
 * matching prefix wins: {@code /orders} matches {@code /orders} and {@code /orders/7} but not
 * {@code /orders-old}.
 */
public final class ServicePaths {

  private final List<PlainService> servicesLongestPathFirst;

  /** Creates a lookup of the given services. */
  public ServicePaths(List<PlainService> services) {
    this.servicesLongestPathFirst =
        services.stream()
            .sorted(
                Comparator.comparingInt((PlainService service) -> prefixOf(service).length())
                    .reversed()
                    .thenComparing(PlainService::name))
            .toList();
  }

  /** Returns the service for a path, which must not contain a query. */
  public Optional<PlainService> find(String path) {
    return servicesLongestPathFirst.stream()
        .filter(service -> matches(prefixOf(service), path))
        .findFirst();
  }

  private static boolean matches(String prefix, String path) {
    return path.startsWith(prefix)
        && (path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
  }

  private static String prefixOf(PlainService service) {
    return withoutTrailingSlash(service.path());
  }

  /** Returns a path without its trailing slash, so that the root path becomes empty. */
  static String withoutTrailingSlash(String path) {
    return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }
}
