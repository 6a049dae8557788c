package org.apricotstand.dispatch;

import java.util.Map;
import org.apricotstand.residency.AdapterKey;

/**
 * A target as it registered itself in the list of targets.
 *
 * @param id identifier of the target
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param domain failure domain
 * @param slots requests that it runs concurrently
 * @param leaving whether it is shutting down and takes no new requests
 * @param startedUnixMs Unix time of its start in ms; distinguishes restarts under the same id
 * @param holdings versions of the models and adapters that it reported as loaded
 */
public record TargetEntry(
    String id,
    String service,
    String host,
    int port,
    String domain,
    int slots,
    boolean leaving,
    long startedUnixMs,
    Map<AdapterKey, Long> holdings) {

  /** Makes an immutable copy of the holdings. */
  public TargetEntry {
    holdings = Map.copyOf(holdings);
  }

  /** Returns the address as {@code HOST:PORT}. */
  public String address() {
    return host + ":" + port;
  }

  /** Returns an identifier that is different after each restart of the target. */
  public String incarnation() {
    return id + "#" + startedUnixMs;
  }
}
