package org.apricotstand.fleet;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.observe.EventLog;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;

/**
 * Keeps the refused traits in a table of the store, so that the instances know them again after all
 * of them were stopped at the same time. A row holds the time of day at which a refusal ends: it
 * outlives the monotonic clocks of all instances, and a jump of a few seconds does not matter to
 * it.
 *
 * <p>A refusal is saved only after it has lasted for a while, because those by mistake soon end.
 * The writes of a row follow each other, each on the condition that the row is as the one before
 * left it, so that none takes effect late.
 *
 * <p>Used on one thread; the calls return immediately.
 */
final class RefusalTable {

  private static final EventLog LOG = EventLog.of(RefusalTable.class);
  private static final String TABLE = "refusals";

  /** Number of rows. A trait always has the same row, which it may share with others. */
  private static final int ROWS = 64;

  /** Time for which a refusal lasts before it is saved. */
  static final long SAVE_DELAY_MS = 1_000;

  /** Pause after a write that failed. */
  static final long RETRY_DELAY_MS = 500;

  private static final long ENDED = 0;
  private static final String SEPARATOR = " ";

  private final RowStore store;
  private final Executor executor;
  private final LongSupplier clock;
  private final LongSupplier timeOfDayMs;
  private final BooleanSupplier isWriter;
  private final Map<String, RefusalRow> rowsByKey = new HashMap<>();
  private long era;
  private boolean isRestored;
  private boolean isReading;
  private long nextReadMs;

  /**
   * A refusal that has not ended.
   *
   * @param trait encoded trait
   * @param remainingMs time until it ends
   */
  record Refusal(String trait, long remainingMs) {}

  /**
   * Content of a row.
   *
   * @param trait encoded trait
   * @param endMs time of day at which the refusal ends
   */
  private record Content(String trait, long endMs) {

    boolean refuses(String encodedTrait, long timeOfDayMs) {
      return trait.equals(encodedTrait) && endMs > timeOfDayMs;
    }

    byte[] encode() {
      return (endMs + SEPARATOR + trait).getBytes(StandardCharsets.UTF_8);
    }

    static Optional<Content> decode(byte[] value) {
      String[] parts = new String(value, StandardCharsets.UTF_8).split(SEPARATOR, 2);
      return parts.length == 2 && parts[0].matches("\\d{1,18}")
          ? Optional.of(new Content(parts[1], Long.parseLong(parts[0])))
          : Optional.empty();
    }
  }

  /** What this instance knows of a row, and what it has to write there. */
  private static final class RefusalRow {
    private final String key;
    private StoreVersion version;
    private Optional<Content> stored = Optional.empty();
    private Optional<Content> pending = Optional.empty();
    private long writeAtMs;
    private boolean isWriting;

    RefusalRow(String key, long era) {
      this.key = key;
      this.version = StoreVersion.absentIn(era);
    }
  }

  /**
   * Creates a table of which nothing is known.
   *
   * @param executor runs what follows on the answers of the store, on the thread of the calls
   * @param clock monotonic time in milliseconds
   * @param timeOfDayMs time of day in milliseconds
   * @param isWriter whether this instance is the one that writes
   */
  RefusalTable(
      RowStore store,
      Executor executor,
      LongSupplier clock,
      LongSupplier timeOfDayMs,
      BooleanSupplier isWriter) {
    this.store = store;
    this.executor = executor;
    this.clock = clock;
    this.timeOfDayMs = timeOfDayMs;
    this.isWriter = isWriter;
    store.addEraListener(newEra -> executor.execute(() -> applyEra(newEra)));
  }

  private void applyEra(long newEra) {
    era = newEra;
    isRestored = !rowsByKey.isEmpty();
  }

  /** Reads the refusals that have not ended. The future fails when the store does not answer. */
  CompletableFuture<List<Refusal>> read() {
    return store
        .readAll(TABLE)
        .thenApplyAsync(
            rows -> rows.stream().map(this::read).flatMap(Optional::stream).toList(), executor);
  }

  private Optional<Refusal> read(Row stored) {
    recordStored(row(stored.key()), stored);
    long nowMs = timeOfDayMs.getAsLong();
    return Content.decode(stored.value())
        .filter(content -> content.endMs > nowMs)
        .map(content -> new Refusal(content.trait, content.endMs - nowMs));
  }

  private static void recordStored(RefusalRow row, Row stored) {
    row.version = stored.version();
    row.stored = Content.decode(stored.value());
    if (row.stored.isEmpty()) {
      LOG.warn("refusal_row_unreadable", "key", row.key);
    }
  }

  private RefusalRow row(String key) {
    return rowsByKey.computeIfAbsent(key, name -> new RefusalRow(name, era));
  }

  /** Writes a refusal over the one whose row it shares, unless it ends before it is due. */
  void save(Refusal refusal) {
    RefusalRow row = row(keyOf(refusal.trait));
    Content content = new Content(refusal.trait, timeOfDayMs.getAsLong() + refusal.remainingMs);
    if (isNeeded(content, row.pending.or(() -> row.stored))) {
      row.pending = Optional.of(content);
      row.writeAtMs = clock.getAsLong() + SAVE_DELAY_MS;
    }
  }

  /** Returns whether a refusal is the same as another one, as two instances would report it. */
  private static boolean lastsAsLong(Content known, Content other) {
    return known.refuses(other.trait, other.endMs - SAVE_DELAY_MS);
  }

  /** Ends the refusal of a trait. */
  void end(String trait) {
    RefusalRow row = row(keyOf(trait));
    long nowMs = timeOfDayMs.getAsLong();
    boolean isPending = row.pending.filter(content -> content.refuses(trait, nowMs)).isPresent();
    boolean isStored = row.stored.filter(content -> content.refuses(trait, nowMs)).isPresent();
    if (isPending && !row.isWriting && !isStored) {
      row.pending = Optional.empty();
    } else if (isPending || isStored) {
      row.pending = Optional.of(new Content(trait, ENDED));
      row.writeAtMs = clock.getAsLong();
    }
  }

  /** Writes what is due. Every instance knows what is to be written, and one of them does it. */
  void tick() {
    long nowMs = clock.getAsLong();
    if (isRestored) {
      readRestored(nowMs);
      return;
    }
    rowsByKey.values().stream()
        .filter(row -> row.pending.isPresent() && !row.isWriting && nowMs >= row.writeAtMs)
        .forEach(this::write);
  }

  /** Reads the table of a restored store, which may lack what was written last. */
  private void readRestored(long nowMs) {
    if (isReading || nowMs < nextReadMs) {
      return;
    }
    isReading = true;
    nextReadMs = nowMs + RETRY_DELAY_MS;
    long readEra = era;
    store
        .readAll(TABLE)
        .whenCompleteAsync((rows, failure) -> onRestoredRead(rows, failure, readEra), executor);
  }

  private void onRestoredRead(List<Row> rows, Throwable failure, long readEra) {
    isReading = false;
    if (failure != null) {
      LOG.warn("refusals_not_read", "error", failure.toString());
    } else if (readEra == era) {
      isRestored = false;
      Map<String, Row> storedByKey = new HashMap<>();
      rows.forEach(row -> storedByKey.put(row.key(), row));
      rowsByKey.values().forEach(row -> restore(row, storedByKey.get(row.key)));
    }
  }

  /** Writes again what the store has lost of a row. */
  private void restore(RefusalRow row, Row stored) {
    Optional<Content> known = row.pending.or(() -> row.stored);
    row.version = StoreVersion.absentIn(era);
    row.stored = Optional.empty();
    if (stored != null) {
      recordStored(row, stored);
    }
    long nowMs = timeOfDayMs.getAsLong();
    row.pending =
        known
            .filter(content -> content.endMs == ENDED || content.endMs > nowMs)
            .filter(content -> isNeeded(content, row.stored));
    row.writeAtMs = clock.getAsLong();
  }

  private void write(RefusalRow row) {
    Content content = row.pending.orElseThrow();
    if (!isWriter.getAsBoolean()) {
      row.stored = row.pending;
      row.pending = Optional.empty();
      return;
    }
    row.isWriting = true;
    store
        .commit(TABLE, List.of(RowWrite.ifVersion(row.version, row.key, content.encode())))
        .thenAcceptAsync(result -> onResult(row, content, result), executor);
  }

  private void onResult(RefusalRow row, Content written, CommitResult result) {
    row.isWriting = false;
    boolean isCurrent = row.pending.filter(written::equals).isPresent();
    switch (result) {
      case CommitResult.Committed(StoreVersion version) -> {
        row.version = version;
        row.stored = Optional.of(written);
        if (isCurrent) {
          row.pending = Optional.empty();
        }
      }
      case CommitResult.Conflict(List<Row> current) -> onConflict(row, current);
      case CommitResult.Failed(String reason) -> {
        LOG.warn("refusal_not_saved", "trait", written.trait, "reason", reason);
        // The write may have taken effect, or may still do so.
        row.stored = Optional.of(written);
        row.writeAtMs = Math.max(row.writeAtMs, clock.getAsLong() + RETRY_DELAY_MS);
      }
    }
  }

  private void onConflict(RefusalRow row, List<Row> current) {
    row.version = StoreVersion.absentIn(era);
    row.stored = Optional.empty();
    current.stream()
        .filter(stored -> stored.key().equals(row.key))
        .forEach(stored -> recordStored(row, stored));
    row.pending = row.pending.filter(content -> isNeeded(content, row.stored));
  }

  /** Returns whether a content is still to be written over what another instance has written. */
  private boolean isNeeded(Content content, Optional<Content> stored) {
    return content.endMs == ENDED
        ? stored.filter(other -> other.refuses(content.trait, timeOfDayMs.getAsLong())).isPresent()
        : stored.filter(other -> lastsAsLong(other, content)).isEmpty();
  }

  private static String keyOf(String trait) {
    int hash = Hashing.murmur3_32_fixed().hashString(trait, StandardCharsets.UTF_8).asInt();
    return "row-" + Math.floorMod(hash, ROWS);
  }
}
