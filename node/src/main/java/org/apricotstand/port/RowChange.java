package org.apricotstand.port;

/**
 * A row after a change.
 *
 * @param removed whether the row no longer exists
 */
public record RowChange(Row row, boolean removed) {}
