package org.apricotstand.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects bytes without moving those that it has, so that a large body never needs room twice.
 * Small parts share a segment.
 */
final class ByteCollector {

  private static final int MAX_SEGMENT_BYTES = 8_192;

  private final List<ByteBuf> segments = new ArrayList<>();
  private int bytes;

  /** Adds a copy of the readable bytes; the part is not changed. */
  void add(ByteBuf part) {
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
    }
    bytes += length;
  }

  /** Returns the number of bytes collected. */
  int size() {
    return bytes;
  }

  /** Returns the bytes collected, which go to the caller of this method. */
  ByteBuf take() {
    ByteBuf all = Unpooled.wrappedBuffer(segments.toArray(ByteBuf[]::new));
    segments.clear();
    bytes = 0;
    return all;
  }
}
