package org.apricotstand.placement;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Ranks nodes for a key by rendezvous hashing: when a node is added or removed, few keys move to
 * another node.
 *
 * <pre>{@code
 * Rendezvous.rank("letters@v1", engines, Target::name).getFirst();
 * }</pre>
 */
public final class Rendezvous {

  private Rendezvous() {}

  /** Returns the nodes by descending score for the key, then by name. */
  public static <T> List<T> rank(String key, Collection<T> nodes, Function<T, String> nameOf) {
    return nodes.stream()
        .map(node -> new ScoredNode<>(node, nameOf.apply(node), score(key, nameOf.apply(node))))
        .sorted(
            Comparator.comparingLong((ScoredNode<T> scored) -> scored.score)
                .reversed()
                .thenComparing(scored -> scored.name))
        .map(scored -> scored.node)
        .toList();
  }

  /** A node with its score, so that a ranking computes the hash only once per node. */
  private record ScoredNode<T>(T node, String name, long score) {}

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
