package org.apricotstand.port;

/**
 * A row of the table service.
 *
 * @param key key within its table
 * @param value content
 * @param version increases with each change; 0 when the row does not exist
 */
public record Row(String key, byte[] value, long version) {}
