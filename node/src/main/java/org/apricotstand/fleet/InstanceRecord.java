package org.apricotstand.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.apricotstand.overlay.OverlayInstance;

/**
 * Row of the table service with the address of an instance.
 *
 * @param name name of the instance
 * @param domain failure domain
 * @param host IP address of its peer interface
 * @param port port of its peer interface
 * @param relayCapacity declared capacity to relay messages between instances
 */
record InstanceRecord(String name, String domain, String host, int port, int relayCapacity) {

  private static final String SEPARATOR = " ";
  private static final int MAX_PORT = 65_535;

  /** Encodes the content of the row as {@code DOMAIN HOST PORT CAPACITY}. */
  byte[] encode() {
    return String.join(
            SEPARATOR, domain, host, Integer.toString(port), Integer.toString(relayCapacity))
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Decodes the content of a row. Earlier versions wrote no capacity.
   *
   * @throws IllegalArgumentException if the content does not have the form {@code DOMAIN HOST PORT
   *     CAPACITY}
   */
  static InstanceRecord decode(String name, byte[] content) {
    String[] parts = new String(content, StandardCharsets.UTF_8).split(SEPARATOR);
    checkArgument(parts.length == 3 || parts.length == 4, "expected DOMAIN HOST PORT CAPACITY");
    checkArgument(NetUtil.isValidIpV4Address(parts[1]), "HOST is no IP address");
    int port = Integer.parseInt(parts[2]);
    checkArgument(port > 0 && port <= MAX_PORT, "PORT is out of range");
    int relayCapacity = parts.length == 4 ? Integer.parseInt(parts[3]) : 0;
    return new InstanceRecord(name, parts[0], parts[1], port, relayCapacity);
  }

  OverlayInstance toOverlayInstance() {
    return new OverlayInstance(name, domain, relayCapacity);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(host, port);
  }
}
