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
        .map(node -> new Scored<>(node, nameOf.apply(node), score(key, nameOf.apply(node))))
        .sorted(
            Comparator.comparingLong((Scored<T> scored) -> scored.score)
                .reversed()
                .thenComparing(scored -> scored.name))
        .map(scored -> scored.node)
        .toList();
  }

  /** A node with its score, which is costly enough to compute only once for each ranking. */
  private record Scored<T>(T node, String name, long score) {}

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
