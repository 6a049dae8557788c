package org.apricotstand.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.StoreVersion;

/**
 * Tells entries of the stored list that may have expired from those that were removed because their
 * target has left. An entry expires after {@value #SILENT_HEARTBEATS} heartbeats without a write,
 * so one that is gone sooner was removed, whatever happened to the store meanwhile.
 *
 * <pre>{@code
 * heartbeats.record(id, version, nowMs); // the entry was read
 * boolean mayRun = heartbeats.mayHaveExpired(id, nowMs); // the entry is gone
 * }</pre>
 */
public final class EntryHeartbeats {

  private static final int SILENT_HEARTBEATS = 3;

  private final long expiryMs;
  private final Map<String, Seen> seenById = new HashMap<>();

  /** The newest version of an entry, and when it was first read. */
  private record Seen(StoreVersion version, long seenMs) {}

  /**
   * Creates a record of no entries.
   *
   * @param heartbeatMs time between two writes of an entry
   */
  public EntryHeartbeats(long heartbeatMs) {
    checkArgument(heartbeatMs > 0, "heartbeatMs must be positive: %s", heartbeatMs);
    this.expiryMs = SILENT_HEARTBEATS * heartbeatMs;
  }

  /** Records that an entry was read; a version that was read before is no sign of life. */
  public void record(String id, StoreVersion version, long nowMs) {
    Seen before = seenById.get(id);
    if (before == null || !before.version.equals(version)) {
      seenById.put(id, new Seen(version, nowMs));
    }
  }

  /**
   * Returns whether an entry that is gone may have expired, and forgets it. It was written before
   * it was read, so an entry that expired can count as removed, if it was read late, but a removed
   * one counts as expired only after that time without a read.
   */
  public boolean mayHaveExpired(String id, long nowMs) {
    Seen last = seenById.remove(id);
    return last != null && nowMs - last.seenMs >= expiryMs;
  }
}
