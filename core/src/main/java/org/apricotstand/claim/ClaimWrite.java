package org.apricotstand.claim;

import java.util.Optional;

/**
 * A conditional write of one claim row.
 *
 * @param nonce attempt that orders it
 * @param key key of the row
 * @param expectedVersion version that the row must have; 0 when it must be absent
 * @param row new content, or nothing to delete the row
 */
public record ClaimWrite(String nonce, String key, long expectedVersion, Optional<ClaimRow> row) {

  private static final int ROW_BYTES = 512;

  /** Returns about how many bytes the write takes in a transaction. */
  int weightBytes() {
    int body = row.map(ClaimRow::answer).map(answer -> answer.body().length).orElse(0);
    return ROW_BYTES + body + body / 3;
  }
}
