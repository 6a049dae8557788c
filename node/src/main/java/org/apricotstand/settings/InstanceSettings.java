package org.apricotstand.settings;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of one entry instance.
 *
 * <pre>{@code
 * Checked<InstanceSettings> settings = InstanceSettings.read(Path.of("entry.yaml"));
 * }</pre>
 *
 * @param instance name of the instance
 * @param domain failure domain
 * @param callerAddress IP number and port for callers
 * @param peerAddress IP number and port for other instances
 * @param operatorAddress IP number and port for operators
 * @param operatorToken token that operators send; required unless the operator address is loopback
 * @param platformUrl URL of the platform
 * @param peers other instances that are known from the start
 * @param policy name of the traffic policy; affinity unless a baseline is compared
 * @param callerLimits limits of the interface for callers
 * @param traceSampledFraction share of the traces that start here and are written to the log, 0 to
 *     1; a caller's own decision in its trace context goes first
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
    String policy,
    CallerLimits callerLimits,
    Double traceSampledFraction) {

  private static final String DEFAULT_POLICY = "affinity";

  /** Replaces missing values by their defaults. */
  public InstanceSettings {
    peers = peers == null ? List.of() : List.copyOf(peers);
    traceSampledFraction = traceSampledFraction == null ? 0.0 : traceSampledFraction;
    policy = policy == null ? DEFAULT_POLICY : policy;
    callerLimits =
        callerLimits == null ? new CallerLimits(null, null, null, null, null, null) : callerLimits;
  }

  /** Creates settings with the default policy and limits. */
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
        null,
        null,
        null);
  }

  /** Another instance. */
  public record Peer(String instance, String domain, String address) {}

  /**
   * Limits of the interface for callers.
   *
   * @param maxHeaderBytes largest header block of a request
   * @param maxBodyBytes largest body of a request
   * @param maxAnswerBytes largest answer of a plain service
   * @param maxConnections most open connections
   * @param idleTimeMs longest pause between requests
   * @param requestTimeMs longest time from the first byte of a request to its last
   */
  public record CallerLimits(
      Integer maxHeaderBytes,
      Integer maxBodyBytes,
      Integer maxAnswerBytes,
      Integer maxConnections,
      Long idleTimeMs,
      Long requestTimeMs) {

    /** Replaces missing values by their defaults. */
    public CallerLimits {
      maxHeaderBytes = maxHeaderBytes == null ? 16_384 : maxHeaderBytes;
      maxBodyBytes = maxBodyBytes == null ? 4_194_304 : maxBodyBytes;
      maxAnswerBytes = maxAnswerBytes == null ? 16_777_216 : maxAnswerBytes;
      maxConnections = maxConnections == null ? 4_096 : maxConnections;
      idleTimeMs = idleTimeMs == null ? 60_000 : idleTimeMs;
      requestTimeMs = requestTimeMs == null ? 30_000 : requestTimeMs;
    }
  }

  /** Reads and checks a settings file; reports all its faults at once. */
  public static Checked<InstanceSettings> read(Path file) {
    return SettingsCheck.read(YamlDocument.read(file));
  }

  /** Parses IP:PORT. */
  public static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    return new InetSocketAddress(
        InetAddresses.forString(bracketed ? host.substring(1, host.length() - 1) : host),
        Integer.parseInt(address.substring(colon + 1)));
  }
}
