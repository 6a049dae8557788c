package org.apricotstand.declaration;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import com.google.common.primitives.Ints;

/** Checks addresses of the form IP:PORT. Host names are refused: nothing here resolves names. */
public final class Addresses {

  /** What a check of an address expects. */
  public static final String EXPECTED = "expected an IP number and a port, such as 10.0.0.7:8000";

  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Returns whether the text is an IP number and a port.
   *
   * @param minPort 1, or 0 where port 0 asks for a free port
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

  /** Returns whether the address can be reached from this machine only. */
  public static boolean isLoopback(String address) {
    String host = HostAndPort.fromString(address).getHost();
    return InetAddresses.forString(host).isLoopbackAddress();
  }

  private static String host(String address, int colon) {
    String host = address.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    return bracketed ? host.substring(1, host.length() - 1) : host;
  }
}
