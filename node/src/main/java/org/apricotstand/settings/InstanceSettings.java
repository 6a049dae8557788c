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
 * @param policy name of the traffic policy; affinity unless a baseline is compared
 */
public record InstanceSettings(
    String instance,
    String domain,
    String callerAddress,
    String peerAddress,
    String operatorAddress,
    String operatorToken,
    String platformUrl,
    List<Peer> peers,
    String policy) {

  private static final String DEFAULT_POLICY = "affinity";

  /** Replaces a missing list by an empty one and a missing policy by the default. */
  public InstanceSettings {
    peers = peers == null ? List.of() : List.copyOf(peers);
    policy = policy == null ? DEFAULT_POLICY : policy;
  }

  /** Creates settings with the default policy. */
  public InstanceSettings(
      String instance,
      String domain,
      String callerAddress,
      String peerAddress,
      String operatorAddress,
      String operatorToken,
      String platformUrl,
      List<Peer> peers) {
    this(
        instance,
        domain,
        callerAddress,
        peerAddress,
        operatorAddress,
        operatorToken,
        platformUrl,
        peers,
        DEFAULT_POLICY);
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
