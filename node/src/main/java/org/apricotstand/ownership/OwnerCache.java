package org.apricotstand.ownership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apricotstand.control.ControlThread;
import org.apricotstand.lease.OwnerRow;
import org.apricotstand.lease.Versioned;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Result;
import org.apricotstand.model.TargetId;
import org.apricotstand.platform.TableService;
import org.apricotstand.platform.TableService.Row;

/**
 * Owners of engines that this instance cannot own itself. A row is read when somebody asks for it
 * and the last read is old, or the former owner refused a request. Methods may be called from any
 * thread.
 */
final class OwnerCache {

  private static final long FRESH_MS = 30_000;
  private static final long REFUSED_FRESH_MS = 500;
  private static final long READ_TIMEOUT_MS = 2_500;
  private static final int READS_PER_TICK = 1;

  private final TableService tables;
  private final Map<TargetId, Entry> entries = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<TargetId> wanted = new ConcurrentLinkedQueue<>();
  private final Set<TargetId> queued = ConcurrentHashMap.newKeySet();

  /** Owner as last read; absent when the target has none. */
  private record Entry(Optional<InstanceId> owner, long staleMs) {}

  OwnerCache(TableService tables) {
    this.tables = tables;
  }

  /** Returns the owner as last read, and has the row read when that was long ago. */
  Optional<InstanceId> get(TargetId target) {
    Entry entry = entries.get(target);
    if (entry == null || ControlThread.nowMs() >= entry.staleMs()) {
      want(target);
    }
    return entry == null ? Optional.empty() : entry.owner();
  }

  /** The presumed owner does not own the target. */
  void refused(TargetId target, InstanceId by) {
    Entry entry = entries.get(target);
    if (entry != null && entry.owner().filter(by::equals).isPresent()) {
      long staleMs = Math.min(entry.staleMs(), ControlThread.nowMs() + REFUSED_FRESH_MS);
      entries.replace(target, entry, new Entry(entry.owner(), staleMs));
    }
    want(target);
  }

  private void want(TargetId target) {
    if (queued.add(target)) {
      wanted.add(target);
    }
  }

  /** Reads the next wanted rows; called at a fixed rate, which bounds the reads. */
  void readWanted() {
    for (int i = 0; i < READS_PER_TICK; i++) {
      TargetId target = wanted.poll();
      if (target == null) {
        return;
      }
      tables
          .read(RowCodec.OWNERS, target.value(), ControlThread.nowMs() + READ_TIMEOUT_MS)
          .thenAccept(result -> read(target, result));
    }
  }

  private void read(TargetId target, Result<Optional<Row>> result) {
    queued.remove(target);
    if (result instanceof Result.Ok<Optional<Row>> ok) {
      Versioned<OwnerRow> found = RowCodec.owner(ok.value());
      long freshMs = found.isAbsent() ? REFUSED_FRESH_MS : FRESH_MS;
      entries.put(
          target,
          new Entry(
              Optional.ofNullable(found.row()).map(OwnerRow::owner),
              ControlThread.nowMs() + freshMs));
    }
  }
}
