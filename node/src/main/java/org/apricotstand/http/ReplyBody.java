package org.apricotstand.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the parts of a body in blocks, so that it needs room twice only when it is complete. One
 * growing buffer would need room for three times the body whenever it grows.
 */
final class ReplyBody {

  private static final int BLOCK_BYTES = 16 * 1024;

  private final List<ByteArrayOutputStream> blocks = new ArrayList<>();
  private int size;

  /** Adds a copy of a part. */
  void add(byte[] part) {
    if (blocks.isEmpty() || blocks.getLast().size() >= BLOCK_BYTES) {
      blocks.add(new ByteArrayOutputStream(part.length));
    }
    blocks.getLast().writeBytes(part);
    size += part.length;
  }

  /** Returns the number of bytes collected. */
  int size() {
    return size;
  }

  /** Returns the whole body. */
  byte[] toByteArray() {
    byte[] all = new byte[size];
    int copied = 0;
    for (ByteArrayOutputStream block : blocks) {
      System.arraycopy(block.toByteArray(), 0, all, copied, block.size());
      copied += block.size();
    }
    return all;
  }
}
