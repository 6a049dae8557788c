package org.apricotstand.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Map;
import org.apricotstand.residency.AdapterKey;

/**
 * A target as it registered itself in the list of targets.
 *
 * @param id identifier of the target
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port, from 1 to 65535
 * @param domain failure domain
 * @param maxConcurrentRequests requests that it runs concurrently, at least 1
 * @param leaving whether it is draining and gets no new requests
 * @param startedUnixMs Unix time of its start in ms; distinguishes restarts under the same id
 * @param resident versions of the models and adapters that it reported as loaded
 */
public record TargetEntry(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int maxConcurrentRequests,
    boolean leaving,
    long startedUnixMs,
    Map<AdapterKey, Long> resident) {

  private static final int MAX_PORT = 65_535;

  /** Checks that requests can be sent to the target, and copies the resident versions. */
  public TargetEntry {
    checkArgument(port > 0 && port <= MAX_PORT, "port %s is out of range", port);
    checkArgument(maxConcurrentRequests > 0, "target runs no requests: %s", maxConcurrentRequests);
    resident = Map.copyOf(resident);
  }

  /** Returns the address as {@code HOST:PORT}. */
  public String address() {
    return host + ":" + port;
  }

  /** Returns an identifier that is different after each restart of the target. */
  public String incarnation() {
    return id + "#" + startedUnixMs;
  }

  /**
   * Returns whether another entry shows that the process of this target has ended: one that started
   * later has its id or its address.
   */
  public boolean isReplacedBy(TargetEntry other) {
    return other.startedUnixMs > startedUnixMs
        && (other.id.equals(id) || other.address().equals(address()));
  }
}
