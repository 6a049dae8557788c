package org.apricotstand.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Rendezvous hashing: ranks nodes for a key so that a change of the nodes moves few keys.
 *
 * <pre>{@code
 * Rendezvous.rank("letters@v1", engines, Target::name).getFirst();
 * }</pre>
 */
public final class Rendezvous {

  private Rendezvous() {}

  /** Returns the nodes by descending score for the key; ties go to the lesser name. */
  public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> nameOf) {
    return nodes.stream()
        .sorted(
            Comparator.comparingLong((T node) -> score(key, nameOf.apply(node)))
                .reversed()
                .thenComparing(nameOf))
        .toList();
  }

  private static long score(String key, String node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(node, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
