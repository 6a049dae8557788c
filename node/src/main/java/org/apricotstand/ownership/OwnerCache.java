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
 * Caches the owners of engines that this instance can't own itself. A row is read again when it is
 * asked for after its maximum age, or when the cached owner refused a request. Methods may be
 * called from any thread.
 */
final class OwnerCache {

  private static final long MAX_AGE_MS = 30_000;

  /** Maximum age of an entry without an owner, or whose owner refused a request. */
  private static final long SHORT_MAX_AGE_MS = 500;

  private static final long READ_TIMEOUT_MS = 2_500;
  private static final int READS_PER_TICK = 1;

  private final TableService tables;
  private final Map<TargetId, Entry> entries = new ConcurrentHashMap<>();
  private final ConcurrentLinkedQueue<TargetId> readQueue = new ConcurrentLinkedQueue<>();
  private final Set<TargetId> queuedTargets = ConcurrentHashMap.newKeySet();

  /** Owner as last read, absent when the target has none, and the time of the next read. */
  private record Entry(Optional<InstanceId> owner, long expiresMs) {}

  OwnerCache(TableService tables) {
    this.tables = tables;
  }

  /** Returns the owner as last read; queues a read when the entry is missing or too old. */
  Optional<InstanceId> get(TargetId target) {
    Entry entry = entries.get(target);
    if (entry == null || ControlThread.nowMs() >= entry.expiresMs()) {
      enqueueRead(target);
    }
    return entry == null ? Optional.empty() : entry.owner();
  }

  /** Handles a refusal by an instance that does not own the target: its row is read again. */
  void onRefused(TargetId target, InstanceId refusedBy) {
    Entry entry = entries.get(target);
    if (entry != null && entry.owner().filter(refusedBy::equals).isPresent()) {
      long expiresMs = Math.min(entry.expiresMs(), ControlThread.nowMs() + SHORT_MAX_AGE_MS);
      entries.replace(target, entry, new Entry(entry.owner(), expiresMs));
    }
    enqueueRead(target);
  }

  private void enqueueRead(TargetId target) {
    if (queuedTargets.add(target)) {
      readQueue.add(target);
    }
  }

  /** Reads the next queued rows. Called at a fixed rate, which limits the rate of reads. */
  void readQueued() {
    for (int i = 0; i < READS_PER_TICK; i++) {
      TargetId target = readQueue.poll();
      if (target == null) {
        return;
      }
      tables
          .read(RowCodec.OWNERS, target.value(), ControlThread.nowMs() + READ_TIMEOUT_MS)
          .thenAccept(result -> onRead(target, result));
    }
  }

  private void onRead(TargetId target, Result<Optional<Row>> result) {
    queuedTargets.remove(target);
    if (result instanceof Result.Ok<Optional<Row>> ok) {
      Versioned<OwnerRow> row = RowCodec.decodeOwner(ok.value());
      long maxAgeMs = row.isAbsent() ? SHORT_MAX_AGE_MS : MAX_AGE_MS;
      entries.put(
          target,
          new Entry(
              Optional.ofNullable(row.row()).map(OwnerRow::owner),
              ControlThread.nowMs() + maxAgeMs));
    }
  }
}
