package org.apricotstand.declaration.check;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apricotstand.declaration.DeclarationSet.Adapter;

/** Computes the shares of the versions of an adapter in requests that name no version. */
final class VersionShares {

  private static final double ALL_PERCENT = 100.0;

  private VersionShares() {}

  /** Returns the shares in percent by route and shift, without versions that get none. */
  static SortedMap<String, Double> of(Adapter adapter) {
    if (adapter.shift() == null || adapter.shift().percent() == 0) {
      return ofRoute(adapter);
    }
    double shifted = adapter.shift().percent();
    SortedMap<String, Double> shares = new TreeMap<>();
    if (shifted < ALL_PERCENT) {
      ofRoute(adapter)
          .forEach((version, share) -> shares.put(version, share * (1 - shifted / ALL_PERCENT)));
    }
    shares.merge(adapter.shift().to(), shifted, Double::sum);
    return shares;
  }

  /** Returns the shares in percent by the route alone, without versions that get none. */
  static SortedMap<String, Double> ofRoute(Adapter adapter) {
    SortedMap<String, Double> shares = new TreeMap<>();
    long total = adapter.route().values().stream().mapToLong(Integer::longValue).sum();
    if (total <= 0) {
      adapter.versions().stream().findFirst().ifPresent(first -> shares.put(first, ALL_PERCENT));
      return shares;
    }
    for (Map.Entry<String, Integer> weight : adapter.route().entrySet()) {
      if (weight.getValue() > 0) {
        shares.put(weight.getKey(), ALL_PERCENT * weight.getValue() / total);
      }
    }
    return shares;
  }
}
