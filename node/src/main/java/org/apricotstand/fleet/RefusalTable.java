package org.apricotstand.fleet;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
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
 * <p>Used on one thread; the calls return immediately.
 */
final class RefusalTable {

  private static final EventLog LOG = EventLog.of(RefusalTable.class);
  private static final String TABLE = "refusals";

  /** Number of rows. A trait always has the same row, which it may share with others. */
  private static final int ROWS = 64;

  private static final String SEPARATOR = " ";

  private final RowStore store;
  private final LongSupplier timeOfDayMs;
  private final Map<String, String> traitsByKey = new HashMap<>();

  /**
   * A refusal that has not ended.
   *
   * @param trait encoded trait
   * @param remainingMs time until it ends
   */
  record Refusal(String trait, long remainingMs) {}

  RefusalTable(RowStore store, LongSupplier timeOfDayMs) {
    this.store = store;
    this.timeOfDayMs = timeOfDayMs;
  }

  /** Reads the refusals that have not ended. The future fails when the store does not answer. */
  CompletableFuture<List<Refusal>> read() {
    return store.readAll(TABLE).thenApply(this::decode);
  }

  private List<Refusal> decode(List<Row> rows) {
    return rows.stream().map(this::decode).flatMap(Optional::stream).toList();
  }

  private Optional<Refusal> decode(Row row) {
    String[] parts = new String(row.value(), StandardCharsets.UTF_8).split(SEPARATOR, 2);
    if (parts.length != 2 || !parts[0].matches("\\d{1,18}")) {
      LOG.warn("refusal_row_unreadable", "key", row.key());
      return Optional.empty();
    }
    long remainingMs = Long.parseLong(parts[0]) - timeOfDayMs.getAsLong();
    return remainingMs > 0 ? Optional.of(new Refusal(parts[1], remainingMs)) : Optional.empty();
  }

  /** Writes a refusal over the one whose row it shares. */
  void save(Refusal refusal) {
    String key = keyOf(refusal.trait);
    traitsByKey.put(key, refusal.trait);
    write(key, timeOfDayMs.getAsLong() + refusal.remainingMs, refusal.trait);
  }

  /** Ends the refusal of a trait if this instance has written it. */
  void end(String trait) {
    String key = keyOf(trait);
    if (traitsByKey.remove(key, trait)) {
      write(key, 0, trait);
    }
  }

  private void write(String key, long endMs, String trait) {
    byte[] value = (endMs + SEPARATOR + trait).getBytes(StandardCharsets.UTF_8);
    store
        .commit(TABLE, List.of(new RowWrite(key, value, RowWrite.ANY_VERSION)))
        .thenAccept(
            result -> {
              if (!(result instanceof CommitResult.Committed)) {
                LOG.warn("refusal_not_saved", "trait", trait, "result", result);
              }
            });
  }

  private static String keyOf(String trait) {
    int hash = Hashing.murmur3_32_fixed().hashString(trait, StandardCharsets.UTF_8).asInt();
    return "row-" + Math.floorMod(hash, ROWS);
  }
}
