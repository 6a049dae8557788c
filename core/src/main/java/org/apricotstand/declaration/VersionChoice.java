package org.apricotstand.declaration;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Shift;

/**
 * Chooses the version of a request that names none. The same request identifier and declaration
 * give the same version at every instance.
 *
 * <pre>{@code
 * Optional<String> version = VersionChoice.choose(adapter, requestId);
 * }</pre>
 */
public final class VersionChoice {

  // Two independent hashes: with one, the requests that a shift leaves behind would no longer be
  // spread over the other versions by their weights.
  private static final HashFunction SHIFT_HASH = Hashing.murmur3_128(1);
  private static final HashFunction ROUTE_HASH = Hashing.murmur3_128(2);
  private static final double PERCENT = 100.0;
  private static final double TWO_POW_53 = 0x1p53;
  private static final int UNUSED_HASH_BITS = 11;

  private VersionChoice() {}

  /** Returns the version, or nothing when the adapter has none. */
  public static Optional<String> choose(Adapter adapter, String requestId) {
    Shift shift = adapter.shift();
    if (shift != null && fraction(SHIFT_HASH, adapter, requestId) * PERCENT < shift.percent()) {
      return Optional.of(shift.to());
    }
    long total = adapter.route().values().stream().mapToLong(Integer::longValue).sum();
    if (total <= 0) {
      return adapter.versions().stream().findFirst();
    }
    double point = fraction(ROUTE_HASH, adapter, requestId) * total;
    // The order of the declared versions, since that of the route's keys differs between processes.
    long reached = 0;
    for (String version : adapter.versions()) {
      reached += adapter.route().getOrDefault(version, 0);
      if (point < reached) {
        return Optional.of(version);
      }
    }
    return adapter.versions().stream().findFirst();
  }

  private static double fraction(HashFunction hash, Adapter adapter, String requestId) {
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
