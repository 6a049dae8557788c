package org.apricotstand.settings;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.apricotstand.http.HttpMemory;

/**
 * Settings of one entry instance, read from a YAML file.
 *
 * <pre>{@code
 * ValidationResult<InstanceSettings> settings = InstanceSettings.read(Path.of("entry.yaml"));
 * }</pre>
 *
 * @param instance name of the instance
 * @param domain failure domain
 * @param callerAddress IP address and port on which callers connect
 * @param peerAddress IP address and port on which other instances connect
 * @param operatorAddress IP address and port on which operators connect
 * @param operatorToken token that operators send; required unless the operator address is loopback
 * @param platformUrl URL of the platform
 * @param peers other instances that this one knows at startup
 * @param policy name of the placement policy, {@code affinity} by default; the others are baselines
 *     for comparison
 * @param callerLimits limits of the interface for callers
 * @param traceSampledFraction fraction of the traces starting here that are written to the log, 0
 *     to 1; the sampling decision in a caller's trace context takes precedence
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
        callerLimits == null
            ? new CallerLimits(null, null, null, null, null, null, null)
            : callerLimits;
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

  /** Another instance, with the IP address and port on which its peers connect. */
  public record Peer(String instance, String domain, String address) {}

  /**
   * Limits of the interface for callers.
   *
   * @param maxHeaderBytes largest header block of a request, in bytes
   * @param maxBodyBytes largest body of a request, in bytes
   * @param maxAnswerBytes largest answer of a plain service, in bytes
   * @param maxConnections maximum number of open connections
   * @param idleTimeMs longest idle time of a connection between requests
   * @param requestTimeMs longest time from the first byte of a request to its last
   * @param maxHeldBytes memory of all requests, collected answers and unsent output together, in
   *     bytes; derived from the sizes of the process by default
   */
  public record CallerLimits(
      Integer maxHeaderBytes,
      Integer maxBodyBytes,
      Integer maxAnswerBytes,
      Integer maxConnections,
      Long idleTimeMs,
      Long requestTimeMs,
      Long maxHeldBytes) {

    /** Replaces missing values by their defaults. */
    public CallerLimits {
      maxHeaderBytes = maxHeaderBytes == null ? 16_384 : maxHeaderBytes;
      maxBodyBytes = maxBodyBytes == null ? 4_194_304 : maxBodyBytes;
      maxAnswerBytes = maxAnswerBytes == null ? 16_777_216 : maxAnswerBytes;
      maxConnections = maxConnections == null ? 4_096 : maxConnections;
      idleTimeMs = idleTimeMs == null ? 60_000 : idleTimeMs;
      requestTimeMs = requestTimeMs == null ? 30_000 : requestTimeMs;
      maxHeldBytes = maxHeldBytes == null ? HttpMemory.defaultBytes() : maxHeldBytes;
    }
  }

  /** Reads and checks a settings file; reports all its errors at once. */
  public static ValidationResult<InstanceSettings> read(Path file) {
    return SettingsValidator.read(YamlDocument.read(file));
  }

  /** Parses IP:PORT; an IPv6 address may be in brackets. */
  public static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    return new InetSocketAddress(
        InetAddresses.forString(bracketed ? host.substring(1, host.length() - 1) : host),
        Integer.parseInt(address.substring(colon + 1)));
  }
}
