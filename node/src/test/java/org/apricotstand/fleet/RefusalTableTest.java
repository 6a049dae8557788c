package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.junit.jupiter.api.Test;

class RefusalTableTest {

  private final MemoryStore store = new MemoryStore();
  private long timeOfDayMs = 1_000_000;

  /** Keeps the rows of one table in memory. */
  private static final class MemoryStore implements RowStore {

    private final Map<String, Row> rows = new HashMap<>();

    @Override
    public CompletableFuture<List<Row>> readAll(String table) {
      return CompletableFuture.completedFuture(List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes) {
      writes.forEach(write -> rows.put(write.key(), new Row(write.key(), write.value(), 1)));
      return CompletableFuture.completedFuture(new CommitResult.Committed(1));
    }
  }

  private RefusalTable newTable() {
    return new RefusalTable(store, () -> timeOfDayMs);
  }

  // Guards against instances that crash targets with the same requests again after all of them were
  // killed.
  @Test
  void aRefusalOutlivesTheInstance() {
    newTable().save(new RefusalTable.Refusal("prompt/f", 120_000));
    timeOfDayMs += 20_000;
    assertThat(newTable().read().join())
        .containsExactly(new RefusalTable.Refusal("prompt/f", 100_000));
  }

  @Test
  void aRefusalEndsAtItsTime() {
    newTable().save(new RefusalTable.Refusal("prompt/f", 120_000));
    timeOfDayMs += 120_000;
    assertThat(newTable().read().join()).isEmpty();
  }

  // Guards against refusing after a restart what was answered before it.
  @Test
  void anEndedRefusalIsNotRead() {
    RefusalTable table = newTable();
    table.save(new RefusalTable.Refusal("prompt/f", 120_000));
    table.end("prompt/g");
    assertThat(newTable().read().join()).hasSize(1);
    table.end("prompt/f");
    assertThat(newTable().read().join()).isEmpty();
  }

  // Guards against a table that grows with each trait that was ever refused.
  @Test
  void keepsABoundedNumberOfRows() {
    RefusalTable table = newTable();
    for (int i = 0; i < 1_000; i++) {
      table.save(new RefusalTable.Refusal("prompt/" + i, 120_000));
    }
    assertThat(store.rows.size()).isAtMost(64);
    assertThat(newTable().read().join()).contains(new RefusalTable.Refusal("prompt/999", 120_000));
  }

  // Guards against a start that fails on a row of another writer.
  @Test
  void ignoresUnreadableRows() {
    store.rows.put("row-1", new Row("row-1", new byte[] {1, 2}, 1));
    assertThat(newTable().read().join()).isEmpty();
  }
}
