package org.apricotstand.lease;

/**
 * A row of a table with its version.
 *
 * @param version version for conditions; 0 when the row is absent
 * @param row the row, or null when it is absent
 */
public record Versioned<T>(long version, T row) {

  /** Returns whether the table has no such row. */
  public boolean isAbsent() {
    return row == null;
  }
}
