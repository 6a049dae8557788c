package org.apricotstand.declaration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.PlainService;

/**
 * Finds the plain service of a path. A prefix matches whole segments only, and the longest prefix
 * wins: {@code /orders} matches {@code /orders} and {@code /orders/7} but not {@code /orders-old}.
 */
public final class ServicePaths {

  private final List<PlainService> longestFirst;

  /** Creates the lookup. */
  public ServicePaths(List<PlainService> services) {
    this.longestFirst =
        services.stream()
            .sorted(
                Comparator.comparingInt((PlainService service) -> normalized(service).length())
                    .reversed()
                    .thenComparing(PlainService::name))
            .toList();
  }

  /** Returns the service of a path without its query. */
  public Optional<PlainService> find(String path) {
    return longestFirst.stream().filter(service -> matches(normalized(service), path)).findFirst();
  }

  private static boolean matches(String prefix, String path) {
    return path.startsWith(prefix)
        && (path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
  }

  private static String normalized(PlainService service) {
    return normalized(service.path());
  }

  /** Returns a prefix without the slash at its end; the root prefix is empty. */
  static String normalized(String path) {
    return path.endsWith("/") ? path.substring(0, path.length() - 1) : path;
  }
}
