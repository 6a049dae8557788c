package org.apricotstand.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of one entry instance.
 *
 * @param instance name of the instance
 * @param domain failure domain
 * @param callerAddress IP number and port for callers
 * @param peerAddress IP number and port for other instances
 * @param operatorAddress IP number and port for operators
 * @param operatorToken token that operators send; required on a public address
 * @param platformUrl URL of the platform
 * @param peers other instances that are known from the start
 */
public record InstanceSettings(
    String instance,
    String domain,
    String callerAddress,
    String peerAddress,
    String operatorAddress,
    String operatorToken,
    String platformUrl,
    List<Peer> peers) {

  /** Replaces a missing list by an empty one. */
  public InstanceSettings {
    peers = peers == null ? List.of() : List.copyOf(peers);
  }

  /** Another instance. */
  public record Peer(String instance, String domain, String address) {}

  /** Parses IP:PORT. */
  public static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
