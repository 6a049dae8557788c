package org.apricotstand.declaration;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Ints;

/**
 * Validates addresses of the form IP:PORT. Host names are rejected, since names are not resolved.
 */
public final class Addresses {

  /** Description of a valid address, for error messages. */
  public static final String EXPECTED_FORMAT =
      "expected an IP address and a port, such as 10.0.0.7:8000";

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Returns whether the text is an IP address and a port.
   *
   * @param minPort smallest valid port: 1, or 0 where port 0 stands for any free port
   */
  public static boolean isValid(String address, int minPort) {
    if (address == null) {
      return false;
    }
    int colon = address.lastIndexOf(':');
    if (colon <= 0 || !InetAddresses.isInetAddress(host(address, colon))) {
      return false;
    }
    Integer port = Ints.tryParse(address.substring(colon + 1));
    return port != null && port >= minPort && port <= MAX_PORT;
  }

  /** Returns whether the address can be reached only from this machine. */
  public static boolean isLoopback(String address) {
    String host = HostAndPort.fromString(address).getHost();
    return InetAddresses.forString(host).isLoopbackAddress();
  }

  private static String host(String address, int colon) {
    String host = address.substring(0, colon);
    boolean isBracketed = host.startsWith("[") && host.endsWith("]");
    return isBracketed ? host.substring(1, host.length() - 1) : host;
  }
}
