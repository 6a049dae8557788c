package org.apricotstand.placement;

import java.util.List;

/**
 * Selects how requests are placed on engines and how loads and evictions are scheduled. The
 * baselines exist for comparison in experiments.
 *
 * <pre>{@code
 * PlacementPolicy policy = PlacementPolicy.parse("affinity");
 * }</pre>
 */
public sealed interface PlacementPolicy {

  /** Names that {@link #parse} accepts; the baselines come last. */
  List<String> NAMES = List.of("affinity", "least-loaded-lru", "random");

  /**
   * Sends the requests of an adapter to few engines, and orders loads and evictions by the value of
   * the adapters.
   */
  record Affinity() implements PlacementPolicy {}

  /** Baseline: chooses the least loaded engine and evicts the least recently used adapter. */
  record LeastLoadedLru() implements PlacementPolicy {}

  /** Baseline: chooses a random engine and evicts the least recently used adapter. */
  record RandomEngine() implements PlacementPolicy {}

  /**
   * Returns the policy with a name.
   *
   * @throws IllegalArgumentException if no policy has this name
   */
  static PlacementPolicy parse(String name) {
    return switch (name) {
      case "affinity" -> new Affinity();
      case "least-loaded-lru" -> new LeastLoadedLru();
      case "random" -> new RandomEngine();
      default ->
          throw new IllegalArgumentException(
              "unknown policy " + name + ", expected one of " + NAMES);
    };
  }

  /**
   * Returns whether loads and evictions are ordered by the value of the adapters instead of the
   * order of arrival and the last use.
   */
  default boolean ordersByValue() {
    return this instanceof Affinity;
  }
}
