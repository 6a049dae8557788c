package org.apricotstand.placement;

import java.util.List;

/**
 * How traffic is placed and scheduled. The baselines exist for comparison in experiments.
 *
 * <pre>{@code
 * Policy policy = Policy.parse("affinity");
 * }</pre>
 */
public sealed interface Policy {

  /** Names that {@link #parse} knows, the product's own policy first. */
  List<String> NAMES = List.of("affinity", "least-loaded-lru", "random");

  /** Sends an adapter's requests to few engines; values decide on loads and evictions. */
  record Affinity() implements Policy {}

  /** Baseline: the least loaded engine, eviction of the least recently used adapter. */
  record LeastLoadedLru() implements Policy {}

  /** Baseline: a random engine, eviction of the least recently used adapter. */
  record RandomEngine() implements Policy {}

  /**
   * Returns the policy of a name.
   *
   * @throws IllegalArgumentException when there is none
   */
  static Policy parse(String name) {
    return switch (name) {
      case "affinity" -> new Affinity();
      case "least-loaded-lru" -> new LeastLoadedLru();
      case "random" -> new RandomEngine();
      default -> throw new IllegalArgumentException("unknown policy " + name + ", not of " + NAMES);
    };
  }

  /** Whether loads and evictions follow values instead of arrival and last use. */
  default boolean ordersByValue() {
    return this instanceof Affinity;
  }
}
