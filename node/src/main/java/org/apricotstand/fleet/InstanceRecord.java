package org.apricotstand.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Row of the table service with the address of an instance.
 *
 * @param name name of the instance
 * @param domain failure domain
 * @param host IP address of its peer interface
 * @param port port of its peer interface
 */
record InstanceRecord(String name, String domain, String host, int port) {

  private static final String SEPARATOR = " ";

  /** Encodes the content of the row as {@code DOMAIN HOST PORT}. */
  byte[] encode() {
    return String.join(SEPARATOR, domain, host, Integer.toString(port))
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes the content of a row.
   *
   * @throws IllegalArgumentException if the content does not have the form {@code DOMAIN HOST PORT}
   */
  static InstanceRecord decode(String name, byte[] content) {
    String[] parts = new String(content, StandardCharsets.UTF_8).split(SEPARATOR);
    checkArgument(parts.length == 3, "expected DOMAIN HOST PORT");
    return new InstanceRecord(name, parts[0], parts[1], Integer.parseInt(parts[2]));
  }

  InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }
}
