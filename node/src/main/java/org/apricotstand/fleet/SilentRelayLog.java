package org.apricotstand.fleet;

import java.util.Set;
import java.util.TreeSet;
import org.apricotstand.observe.EventLog;

/**
 * Logs which relays turned silent, in at most one line a second: in the first seconds of a large
 * fleet most instances relay for themselves. Not thread-safe; used on the control thread only.
 */
final class SilentRelayLog {

  // Named after the user of this class, so that searches by source still find the lines.
  private static final EventLog LOG = EventLog.of(FleetExchange.class);
  private static final long PERIOD_MS = 1_000;

  private final Set<String> relays = new TreeSet<>();
  private long nextLineMs = Long.MIN_VALUE;

  /** Adds a relay to the next line. */
  void add(String relay) {
    relays.add(relay);
  }

  /** Writes the line if there is something to write and the last one was long enough ago. */
  void tick(long nowMs) {
    if (!relays.isEmpty() && nowMs >= nextLineMs) {
      nextLineMs = nowMs + PERIOD_MS;
      LOG.info("relay_silent", "relay", String.join(",", relays));
      relays.clear();
    }
  }
}
