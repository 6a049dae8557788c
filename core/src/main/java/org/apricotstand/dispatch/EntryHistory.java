package org.apricotstand.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.apricotstand.model.StoreVersion;

/**
 * Tells entries that the table service brought back from an older copy from those that their
 * targets wrote after it was restored. An entry of the copy may say that a target is ready that has
 * reported since that it leaves, or that has left.
 *
 * <pre>{@code
 * if (!history.isOutdated(entry, sequence, version, nowMs)) { ... }
 * }</pre>
 */
public final class EntryHistory {

  /** Time for which entries are remembered that are gone; much longer than a copy is old. */
  private static final long RETENTION_MS = 120_000;

  private final Map<String, Written> newestById = new HashMap<>();
  private final Map<String, StoreVersion> outdatedById = new HashMap<>();
  private long nextCleanUpMs = Long.MIN_VALUE;

  /** What a target wrote last, as far as it was read. */
  private record Written(long startedUnixMs, long sequence, StoreVersion version, long readMs) {

    private static final Comparator<Written> ORDER =
        Comparator.comparingLong(Written::startedUnixMs).thenComparingLong(Written::sequence);

    boolean isOfLaterEraThan(Written other) {
      return version.era() > other.version.era();
    }
  }

  /**
   * Returns whether an entry is not newer than one that was read in an earlier era; otherwise
   * records it. Of each era only the first version of an entry can be outdated, since its target
   * has written the following ones.
   *
   * @param sequence number that the target raises with each write
   */
  public boolean isOutdated(TargetEntry entry, long sequence, StoreVersion version, long nowMs) {
    Written read = new Written(entry.startedUnixMs(), sequence, version, nowMs);
    Written newest = newestById.get(entry.id());
    StoreVersion outdated = outdatedById.get(entry.id());
    boolean isFirstOfEra =
        outdated == null || outdated.era() != version.era() || outdated.equals(version);
    if (newest != null
        && read.isOfLaterEraThan(newest)
        && isFirstOfEra
        && Written.ORDER.compare(read, newest) <= 0) {
      outdatedById.put(entry.id(), version);
      return true;
    }
    outdatedById.remove(entry.id());
    newestById.put(entry.id(), read);
    cleanUp(nowMs);
    return false;
  }

  private void cleanUp(long nowMs) {
    if (nowMs >= nextCleanUpMs) {
      nextCleanUpMs = nowMs + RETENTION_MS;
      newestById.values().removeIf(written -> written.readMs < nowMs - RETENTION_MS);
      outdatedById.keySet().retainAll(newestById.keySet());
    }
  }
}
