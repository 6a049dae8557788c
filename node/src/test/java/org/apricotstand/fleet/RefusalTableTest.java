package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.apricotstand.model.StoreVersion;
import org.apricotstand.port.CommitResult;
import org.apricotstand.port.Row;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.junit.jupiter.api.Test;

class RefusalTableTest {

  private static final RefusalTable.Refusal REFUSAL = new RefusalTable.Refusal("prompt/f", 120_000);

  private final MemoryStore store = new MemoryStore();
  private long nowMs = 500;
  private long timeOfDayMs = 1_000_000;
  private boolean isWriter = true;

  /** Keeps the rows of one table in memory and checks the expected versions. */
  private static final class MemoryStore implements RowStore {

    private final Map<String, Row> rows = new HashMap<>();

    /** Writes that have not been carried out, if {@code isSlow}. */
    private final List<Runnable> pendingWrites = new ArrayList<>();

    private boolean isSlow;
    private boolean isDown;
    private boolean losesAnswers;
    private int callCount;
    private LongConsumer eraListener = era -> {};
    private long era;
    private long number;

    @Override
    public CompletableFuture<List<Row>> readAll(String table) {
      return CompletableFuture.completedFuture(List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes) {
      callCount++;
      CompletableFuture<CommitResult> result = new CompletableFuture<>();
      Runnable write = () -> result.complete(isDown ? failed() : write(writes.getFirst()));
      if (isSlow) {
        pendingWrites.add(write);
      } else {
        write.run();
      }
      return result;
    }

    private static CommitResult failed() {
      return new CommitResult.Failed("down");
    }

    private CommitResult write(RowWrite write) {
      Row current = rows.get(write.key());
      StoreVersion currentVersion =
          current == null ? StoreVersion.absentIn(era) : current.version();
      boolean isExpected =
          write.expectedVersion().filter(version -> !version.equals(currentVersion)).isEmpty();
      boolean isOfEarlierEra =
          write.expectedVersion().filter(version -> version.era() != era).isPresent();
      if (isOfEarlierEra) {
        return failed();
      }
      if (!isExpected) {
        return new CommitResult.Conflict(current == null ? List.of() : List.of(current));
      }
      StoreVersion written = new StoreVersion(era, ++number);
      rows.put(write.key(), new Row(write.key(), write.value(), written));
      return losesAnswers ? failed() : new CommitResult.Committed(written);
    }

    @Override
    public void addEraListener(LongConsumer listener) {
      eraListener = listener;
    }

    /** Restores rows, whose versions are of a new era. */
    void restore(Map<String, Row> copy) {
      era++;
      rows.clear();
      copy.forEach(
          (key, row) -> {
            StoreVersion version = new StoreVersion(era, row.version().number());
            rows.put(key, new Row(key, row.value(), version));
          });
      eraListener.accept(era);
    }

    /** Carries out the pending writes, the newest first. */
    void carryOutInReverse() {
      List<Runnable> writes = List.copyOf(pendingWrites).reversed();
      pendingWrites.clear();
      writes.forEach(Runnable::run);
    }
  }

  private RefusalTable newTable() {
    return new RefusalTable(store, Runnable::run, () -> nowMs, () -> timeOfDayMs, () -> isWriter);
  }

  private void pass(RefusalTable table, long durationMs) {
    nowMs += durationMs;
    timeOfDayMs += durationMs;
    table.tick();
  }

  private RefusalTable tableWithSavedRefusal() {
    RefusalTable table = newTable();
    table.save(REFUSAL);
    pass(table, RefusalTable.SAVE_DELAY_MS);
    return table;
  }

  private List<RefusalTable.Refusal> readAnew() {
    return newTable().read().join();
  }

  // Guards against instances that crash targets with the same requests again after all of them were
  // killed.
  @Test
  void aRefusalOutlivesTheInstance() {
    tableWithSavedRefusal();
    timeOfDayMs += 20_000;
    assertThat(readAnew())
        .containsExactly(
            new RefusalTable.Refusal("prompt/f", 100_000 - RefusalTable.SAVE_DELAY_MS));
  }

  @Test
  void aRefusalEndsAtItsTime() {
    tableWithSavedRefusal();
    timeOfDayMs += 120_000;
    assertThat(readAnew()).isEmpty();
  }

  // Guards against refusing after a restart what was answered before it.
  @Test
  void anEndedRefusalIsNotRead() {
    RefusalTable table = tableWithSavedRefusal();
    table.end("prompt/g");
    pass(table, 0);
    assertThat(readAnew()).hasSize(1);
    table.end("prompt/f");
    pass(table, 0);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against writing and ending each refusal by mistake, and against a row that stays when
  // all instances are killed between the two writes.
  @Test
  void aRefusalThatSoonEndsIsNotWritten() {
    RefusalTable table = newTable();
    table.save(REFUSAL);
    pass(table, RefusalTable.SAVE_DELAY_MS - 1);
    table.end("prompt/f");
    pass(table, RefusalTable.SAVE_DELAY_MS);
    assertThat(store.callCount).isEqualTo(0);
  }

  // Guards against a row that refuses after a restart what was answered before it, because the
  // store has carried out the write that saves it after the one that ends it.
  @Test
  void writesOfARowDoNotOvertakeEachOther() {
    store.isSlow = true;
    RefusalTable table = tableWithSavedRefusal();
    table.end("prompt/f");
    pass(table, 0);
    store.carryOutInReverse();
    pass(table, 0);
    store.carryOutInReverse();
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a row that stays because the store was down when its refusal ended.
  @Test
  void repeatsAWriteThatFailed() {
    RefusalTable table = tableWithSavedRefusal();
    store.isDown = true;
    table.end("prompt/f");
    pass(table, 0);
    store.isDown = false;
    pass(table, RefusalTable.RETRY_DELAY_MS);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a row that stays because the answer to the write that saved it was lost.
  @Test
  void endsARefusalWhoseSavingGotNoAnswer() {
    store.losesAnswers = true;
    RefusalTable table = tableWithSavedRefusal();
    store.losesAnswers = false;
    table.end("prompt/f");
    pass(table, RefusalTable.RETRY_DELAY_MS);
    pass(table, RefusalTable.RETRY_DELAY_MS);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a row that stays because the instance that wrote it has gone.
  @Test
  void anotherInstanceEndsARefusal() {
    tableWithSavedRefusal();
    RefusalTable other = newTable();
    other.read();
    other.end("prompt/f");
    pass(other, 0);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a row that nobody ends because the instance that was to write was another one
  // when the refusal was saved.
  @Test
  void anInstanceThatBecomesTheWriterEndsWhatItHeardOf() {
    isWriter = false;
    RefusalTable other = newTable();
    other.save(REFUSAL);
    isWriter = true;
    tableWithSavedRefusal();
    isWriter = false;
    pass(other, RefusalTable.SAVE_DELAY_MS);
    isWriter = true;
    other.end("prompt/f");
    pass(other, 0);
    pass(other, 0);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against as many writes of one refusal as there are instances.
  @Test
  void onlyTheWriterWrites() {
    isWriter = false;
    tableWithSavedRefusal();
    assertThat(store.callCount).isEqualTo(0);
  }

  // Guards against a write for each instance that reports the same refusal.
  @Test
  void aRefusalThatIsReportedTwiceIsWrittenOnce() {
    RefusalTable table = tableWithSavedRefusal();
    table.save(new RefusalTable.Refusal("prompt/f", 119_000));
    pass(table, RefusalTable.SAVE_DELAY_MS);
    assertThat(store.callCount).isEqualTo(1);
  }

  // Guards against ending the refusal of another trait that has taken the row meanwhile.
  @Test
  void endsNoRefusalOfAnotherTrait() {
    RefusalTable table = tableWithSavedRefusal();
    String key = store.rows.keySet().iterator().next();
    byte[] value = (timeOfDayMs + 60_000 + " prompt/g").getBytes();
    store.write(RowWrite.unconditional(key, value));
    table.end("prompt/f");
    pass(table, 0);
    pass(table, RefusalTable.RETRY_DELAY_MS);
    assertThat(readAnew()).containsExactly(new RefusalTable.Refusal("prompt/g", 59_500));
  }

  // Guards against a table that grows with each trait that was ever refused.
  @Test
  void keepsABoundedNumberOfRows() {
    RefusalTable table = newTable();
    for (int i = 0; i < 1_000; i++) {
      table.save(new RefusalTable.Refusal("prompt/" + i, 120_000));
    }
    pass(table, RefusalTable.SAVE_DELAY_MS);
    assertThat(store.rows.size()).isAtMost(64);
    assertThat(readAnew()).contains(new RefusalTable.Refusal("prompt/999", 119_000));
  }

  // Guards against a refusal that no instance knows after a restart, because the store was restored
  // from a copy of before it.
  @Test
  void aRefusalThatTheStoreHasLostIsWrittenAgain() {
    RefusalTable table = tableWithSavedRefusal();
    store.restore(Map.of());
    pass(table, 0);
    pass(table, 0);
    assertThat(readAnew()).hasSize(1);
  }

  // Guards against a refusal that comes back with a copy of the store although it has ended, and
  // that instances which start later would keep up.
  @Test
  void anEndedRefusalDoesNotComeBackWithACopy() {
    RefusalTable table = tableWithSavedRefusal();
    Map<String, Row> copy = Map.copyOf(store.rows);
    table.end("prompt/f");
    pass(table, 0);
    store.restore(copy);
    pass(table, 0);
    pass(table, 0);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a write whose condition names a version that the store has given out again.
  @Test
  void nothingIsWrittenBeforeARestoredTableWasRead() {
    RefusalTable table = tableWithSavedRefusal();
    store.restore(Map.of());
    int callsBefore = store.callCount;
    table.end("prompt/f");
    pass(table, 0);
    pass(table, 0);
    assertThat(store.callCount).isEqualTo(callsBefore);
    assertThat(readAnew()).isEmpty();
  }

  // Guards against a start that fails on a row of another writer.
  @Test
  void ignoresUnreadableRows() {
    store.rows.put("row-1", new Row("row-1", new byte[] {1, 2}, StoreVersion.withoutEra(1)));
    assertThat(readAnew()).isEmpty();
  }
}
