package org.apricotstand.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the bytes that are kept in memory for all answers together, and chooses which answer is
 * given up when they become too many.
 *
 * <p>A source in trouble sends more bytes than all others and to many requests at once. So the
 * answer that is given up is the largest one of the source whose answers hold the most, and an
 * answer of another source is kept even if it is the largest of all.
 *
 * <pre>{@code
 * heldBytes.update(answer, target, answer.bytes()).ifPresent(Answer::giveUp);
 * heldBytes.remove(answer);
 * }</pre>
 *
 * @param <H> what holds bytes
 */
public final class HeldBytes<H> {

  private final long maxBytes;
  private final Map<H, Holding> holdings = new HashMap<>();
  private long totalBytes;

  private record Holding(String source, long bytes) {}

  /** Creates a bound for this number of bytes. */
  public HeldBytes(long maxBytes) {
    checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
    this.maxBytes = maxBytes;
  }

  /**
   * Sets the number of bytes that a holder keeps.
   *
   * @param source where the bytes come from
   * @return the holder that has to give up its bytes, if there are too many
   */
  public Optional<H> update(H holder, String source, long bytes) {
    remove(holder);
    if (bytes > 0) {
      holdings.put(holder, new Holding(source, bytes));
      totalBytes += bytes;
    }
    return totalBytes > maxBytes ? largestOfLargestSource() : Optional.empty();
  }

  /** Forgets a holder, which keeps no bytes any more. */
  public void remove(H holder) {
    Holding removed = holdings.remove(holder);
    if (removed != null) {
      totalBytes -= removed.bytes;
    }
  }

  /** Returns the bytes that all holders keep. */
  public long totalBytes() {
    return totalBytes;
  }

  private Optional<H> largestOfLargestSource() {
    Map<String, Long> bytesBySource = new HashMap<>();
    holdings.values().forEach(held -> bytesBySource.merge(held.source, held.bytes, Long::sum));
    return bytesBySource.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .flatMap(this::largestOf);
  }

  private Optional<H> largestOf(String source) {
    return holdings.entrySet().stream()
        .filter(entry -> entry.getValue().source.equals(source))
        .max((one, other) -> Long.compare(one.getValue().bytes, other.getValue().bytes))
        .map(Map.Entry::getKey);
  }
}
