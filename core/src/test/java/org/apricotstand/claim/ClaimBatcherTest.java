package org.apricotstand.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimBatcherTest {

  private static final ClaimRow ROW =
      new ClaimRow(ClaimRow.State.CLAIMED, "entry-1", 1, "n", "f", 0, null);

  private final ClaimBatcher batcher = new ClaimBatcher(10);

  /** Guards against a failed condition that also fails the other claims of its transaction. */
  @Test
  void retriesTheOtherWritesOfAConflictingTransaction() {
    submit("a", 0);
    submit("b", 1);
    submit("c", 1);
    List<BatchAction> second = batcher.handle(new BatchEvent.TimerFired(), 10);
    assertThat(second)
        .containsExactly(new BatchAction.Commit(2, List.of(write("b"), write("c"))))
        .inOrder();
    StoredClaim held = new StoredClaim(ROW, 7);
    List<BatchAction> actions = batcher.handle(new BatchEvent.Conflicted(2, Map.of("b", held)), 30);
    assertThat(actions)
        .containsExactly(
            new BatchAction.ReportResult(write("b"), new WriteResult.Conflict(Optional.of(held))),
            new BatchAction.Commit(3, List.of(write("c"))))
        .inOrder();
  }

  /** Guards against two inserts of one key in one transaction, which would both succeed. */
  @Test
  void putsWritesOfOneRowIntoDifferentTransactions() {
    submit("x", 0);
    submit("a", 1);
    submit("a", 1);
    assertThat(batcher.handle(new BatchEvent.TimerFired(), 10))
        .contains(new BatchAction.Commit(2, List.of(write("a"))));
  }

  private void submit(String key, long nowMs) {
    batcher.handle(new BatchEvent.WriteSubmitted(write(key)), nowMs);
  }

  private static ClaimWrite write(String key) {
    return new ClaimWrite("n", key, 0, Optional.of(ROW));
  }
}
