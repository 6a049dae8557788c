package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects bytes without moving those that it has, so that a large body never needs room twice.
 * Small parts share a segment.
 */
public final class ByteCollector {

  private static final int MAX_SEGMENT_BYTES = 8_192;

  /** Memory of a segment besides its bytes. */
  private static final int SEGMENT_OVERHEAD_BYTES = 100;

  private final List<ByteBuf> segments = new ArrayList<>();
  private int bytes;
  private long heldBytes;

  /** Adds a copy of the readable bytes; the part is not changed. */
  public void add(ByteBuf part) {
    int length = part.readableBytes();
    int copied = 0;
    if (!segments.isEmpty()) {
      ByteBuf last = segments.getLast();
      copied = Math.min(length, last.writableBytes());
      last.writeBytes(part, part.readerIndex(), copied);
    }
    if (copied < length) {
      // Grows with the body, so that a short one takes no more room than it needs.
      int capacity = Math.max(length - copied, Math.min(MAX_SEGMENT_BYTES, bytes));
      ByteBuf segment = Unpooled.buffer(capacity, capacity);
      segment.writeBytes(part, part.readerIndex() + copied, length - copied);
      segments.add(segment);
      heldBytes += capacity + SEGMENT_OVERHEAD_BYTES;
    }
    bytes += length;
  }

  /** Returns the number of bytes collected. */
  public int size() {
    return bytes;
  }

  /** Returns the bytes collected, which go to the caller of this method. */
  public ByteBuf take() {
    ByteBuf all = Unpooled.wrappedBuffer(segments.toArray(ByteBuf[]::new));
    clear();
    return all;
  }

  /** Returns the bytes collected as an array, without a copy if they are in one full segment. */
  byte[] takeArray() {
    ByteBuf first = segments.isEmpty() ? Unpooled.EMPTY_BUFFER : segments.getFirst();
    boolean isWhole = first.hasArray() && first.array().length == bytes;
    byte[] all = isWhole ? first.array() : ByteBufUtil.getBytes(take());
    clear();
    return all;
  }

  /** Returns the memory that the collected bytes take. */
  long heldBytes() {
    return heldBytes;
  }

  /** Drops the bytes collected. */
  public void clear() {
    segments.clear();
    bytes = 0;
    heldBytes = 0;
  }
}
