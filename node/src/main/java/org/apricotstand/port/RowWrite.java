package org.apricotstand.port;

/**
 * A conditional write of a row.
 *
 * @param key key within the table
 * @param value new content
 * @param expectedVersion version that the row must have; 0 when it must not exist, {@link
 *     #ANY_VERSION} for no condition
 */
public record RowWrite(String key, byte[] value, long expectedVersion) {
  /** Expected version of a write without a condition. */
  public static final long ANY_VERSION = -1;
}
