package org.apricotstand.port;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds the memory that callers and targets use together.
 *
 * @param maxHeldBytes bytes of heads, bodies, queued requests, answers and unread output together;
 *     beyond that requests are refused and connections closed
 * @param maxConnections open connections of callers; beyond that idle ones are closed
 */
public record MemoryLimits(long maxHeldBytes, int maxConnections) {

  private static final long MIN_HELD_BYTES = 65_536;

  /** The rest of the heap is for the program, the connections and copies of a single request. */
  private static final int HEAP_DIVISOR = 3;

  /**
   * Heap for each connection that may be open; a connection without a request takes about 5 KB, so
   * that all together take a fifth of the heap.
   */
  private static final long HEAP_BYTES_PER_CONNECTION = 24_576;

  /** Descriptors that are left to connections to targets, the store and other instances. */
  private static final int DESCRIPTOR_DIVISOR = 2;

  /** Checks that requests of usual size can pass. */
  public MemoryLimits {
    checkArgument(
        maxHeldBytes >= MIN_HELD_BYTES,
        "maxHeldBytes %s is less than %s",
        maxHeldBytes,
        MIN_HELD_BYTES);
    checkArgument(maxConnections > 0, "maxConnections must be positive: %s", maxConnections);
  }

  /**
   * Returns the limits for a process.
   *
   * @param maxHeapBytes maximum size of its heap
   * @param maxDescriptors maximum number of its open descriptors
   */
  public static MemoryLimits forProcess(long maxHeapBytes, long maxDescriptors) {
    long connections =
        Math.min(maxHeapBytes / HEAP_BYTES_PER_CONNECTION, maxDescriptors / DESCRIPTOR_DIVISOR);
    return new MemoryLimits(maxHeapBytes / HEAP_DIVISOR, (int) Math.max(1, connections));
  }
}
