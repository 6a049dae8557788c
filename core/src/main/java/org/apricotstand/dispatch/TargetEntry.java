package org.apricotstand.dispatch;

import java.util.Map;
import org.apricotstand.residency.AdapterKey;

/**
 * A target as it registered itself.
 *
 * @param id identifier of this start of the target
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param domain failure domain
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param startedUnixMs when it started; tells a restart under the same id
 * @param holdings versions of the models and adapters that it said it holds
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

  /** Copies the holdings. */
  public TargetEntry {
    holdings = Map.copyOf(holdings);
  }

  /** Returns the address as text. */
  public String address() {
    return host + ":" + port;
  }

  /** Returns a key that differs for each start of the target. */
  public String incarnation() {
    return id + "#" + startedUnixMs;
  }
}
