package org.apricotstand.port;

import org.apricotstand.model.StoreVersion;

/**
 * A row of the table service.
 *
 * @param key key within its table
 * @param value content
 * @param version version of the last change
 */
public record Row(String key, byte[] value, StoreVersion version) {}
