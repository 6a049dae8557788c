package org.apricotstand.port;

import java.util.Optional;
import org.apricotstand.model.StoreVersion;

/**
 * A write of a row.
 *
 * @param key key within the table
 * @param value new content
 * @param expectedVersion version that the row must have, or that of a row that does not exist;
 *     empty for no condition
 */
public record RowWrite(String key, byte[] value, Optional<StoreVersion> expectedVersion) {

  /** Returns a write that takes effect only if the row has a version. */
  public static RowWrite ifVersion(StoreVersion expected, String key, byte[] value) {
    return new RowWrite(key, value, Optional.of(expected));
  }

  /** Returns a write without a condition. */
  public static RowWrite unconditional(String key, byte[] value) {
    return new RowWrite(key, value, Optional.empty());
  }
}
