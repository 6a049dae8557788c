package org.apricotstand.declaration;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Shift;

/**
 * Chooses the version of an adapter for a request that names none. The same request identifier and
 * declaration result in the same version at every instance.
 *
 * <pre>{@code
 * Optional<String> version = VersionChoice.choose(adapter, requestId);
 * }</pre>
 */
public final class VersionChoice {

  // Two independent hashes. With only one, the requests that the shift does not move would not be
  // distributed over the versions according to their weights.
  private static final HashFunction SHIFT_HASH = Hashing.murmur3_128(1);
  private static final HashFunction ROUTE_HASH = Hashing.murmur3_128(2);
  private static final double PERCENT = 100.0;
  private static final double TWO_POW_53 = 0x1p53;
  private static final int UNUSED_HASH_BITS = 11;

  private VersionChoice() {}

  /** Returns the chosen version, or empty if the adapter has no versions. */
  public static Optional<String> choose(Adapter adapter, String requestId) {
    Shift shift = adapter.shift();
    if (shift != null && hashFraction(SHIFT_HASH, adapter, requestId) * PERCENT < shift.percent()) {
      return Optional.of(shift.to());
    }
    long totalWeight = adapter.route().values().stream().mapToLong(Integer::longValue).sum();
    if (totalWeight <= 0) {
      return adapter.versions().stream().findFirst();
    }
    double point = hashFraction(ROUTE_HASH, adapter, requestId) * totalWeight;
    // Iterates in the order of the declared versions, because the iteration order of the route map
    // differs between processes.
    long cumulativeWeight = 0;
    for (String version : adapter.versions()) {
      cumulativeWeight += adapter.route().getOrDefault(version, 0);
      if (point < cumulativeWeight) {
        return Optional.of(version);
      }
    }
    return adapter.versions().stream().findFirst();
  }

  /** Returns a hash of the adapter and request as a number from 0 inclusive to 1 exclusive. */
  private static double hashFraction(HashFunction hash, Adapter adapter, String requestId) {
    long bits =
        hash.newHasher()
            .putString(adapter.name(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(requestId, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return (bits >>> UNUSED_HASH_BITS) / TWO_POW_53;
  }
}
