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
import org.apricotstand.port.RowChange;
import org.apricotstand.port.RowStore;
import org.apricotstand.port.RowWrite;
import org.apricotstand.port.TableSharing;
import org.junit.jupiter.api.Test;

class InstanceDirectoryTest {

  private static final InstanceRecord SELF = new InstanceRecord("n1", "d1", "10.0.0.1", 7_380, 1);
  private static final double STAGGER_FRACTION = 0.5;

  private final MemoryStore store = new MemoryStore();
  private final InstanceDirectory directory =
      new InstanceDirectory(SELF, store, Runnable::run, () -> store.nowMs);

  /** Keeps one table, whose rows can be lost. */
  private static final class MemoryStore implements RowStore {
    private final Map<String, Row> rows = new HashMap<>();
    private final List<String> calls = new ArrayList<>();
    private LongConsumer eraListener = era -> {};
    private long era = 1;
    private long number;
    private long nowMs = 1_000;

    @Override
    public CompletableFuture<List<Row>> readAll(String table) {
      calls.add("read");
      return CompletableFuture.completedFuture(List.copyOf(rows.values()));
    }

    @Override
    public CompletableFuture<CommitResult> commit(String table, List<RowWrite> writes) {
      calls.add("write");
      StoreVersion version = new StoreVersion(era, ++number);
      writes.forEach(write -> rows.put(write.key(), new Row(write.key(), write.value(), version)));
      return CompletableFuture.completedFuture(new CommitResult.Committed(version));
    }

    @Override
    public void addEraListener(LongConsumer listener) {
      eraListener = listener;
    }

    void restoreWithout(String key) {
      rows.remove(key);
      eraListener.accept(++era);
    }
  }

  /** Makes the instance a member of a relay, which reads the table for it. */
  private static final class MemberSharing implements TableSharing {
    @Override
    public void subscribe(String table, long readPeriodMs, TableSharing.Listener listener) {}

    @Override
    public boolean mustRead(String table) {
      return false;
    }

    @Override
    public Role role() {
      return Role.MEMBER;
    }

    @Override
    public double staggerFraction() {
      return STAGGER_FRACTION;
    }

    @Override
    public void share(
        String table, List<RowChange> rows, StoreVersion fromVersion, StoreVersion version) {}

    @Override
    public void shareLost(String table, List<RowChange> rows) {}

    @Override
    public void shareRecovery(String table) {}
  }

  private void pass(long durationMs) {
    store.nowMs += durationMs;
    directory.tick();
  }

  // Guards against an instance that the others never find, because the store was restored from a
  // copy of before it registered.
  @Test
  void anInstanceRegistersAgainAfterTheStoreHasLostItsRow() {
    directory.start(new MemberSharing());
    pass(10_000);
    store.restoreWithout("n1");
    pass(2_000);
    pass(2_000);
    assertThat(store.rows).containsKey("n1");
  }

  // Guards against a write by each instance after each restore, and against calls of all instances
  // at the same moment.
  @Test
  void aRowThatIsStillThereCostsOneReadAtAStaggeredTime() {
    directory.start(new MemberSharing());
    pass(10_000);
    store.calls.clear();
    store.restoreWithout("n2");
    pass(0);
    assertThat(store.calls).isEmpty();
    pass(1_000);
    pass(10_000);
    assertThat(store.calls).containsExactly("read");
  }
}
