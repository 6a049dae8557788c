package org.apricotstand.claim;

import java.util.Optional;

/**
 * A conditional write of one claim row.
 *
 * @param nonce nonce of the attempt that submits the write
 * @param key key of the row
 * @param expectedVersion version that the row must have, or 0 if it must not exist
 * @param row new content, or empty to delete the row
 */
public record ClaimWrite(String nonce, String key, long expectedVersion, Optional<ClaimRow> row) {

  private static final int ROW_OVERHEAD_BYTES = 512;

  /** Returns the approximate size of the write in a transaction; the body is Base64-encoded. */
  int estimatedBytes() {
    int body = row.map(ClaimRow::answer).map(answer -> answer.body().length).orElse(0);
    return ROW_OVERHEAD_BYTES + body + body / 3;
  }
}
