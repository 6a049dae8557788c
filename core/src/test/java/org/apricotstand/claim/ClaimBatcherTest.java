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

  /** Guards against a failing condition that fails the claims beside it in the transaction. */
  @Test
  void commitsTheNeighboursOfAConflictAgain() {
    submit("a", 0);
    submit("b", 1);
    submit("c", 1);
    List<BatchAction> second = batcher.handle(new BatchEvent.Woken(), 10);
    assertThat(second)
        .containsExactly(new BatchAction.Commit(2, List.of(write("b"), write("c"))))
        .inOrder();
    StoredClaim held = new StoredClaim(ROW, 7);
    List<BatchAction> split = batcher.handle(new BatchEvent.Conflicted(2, Map.of("b", held)), 30);
    assertThat(split)
        .containsExactly(
            new BatchAction.Ended(write("b"), new WriteResult.Conflict(Optional.of(held))),
            new BatchAction.Commit(3, List.of(write("c"))))
        .inOrder();
  }

  /** Guards against two inserts of one key that both pass the condition of one transaction. */
  @Test
  void putsWritesOfOneRowIntoDifferentTransactions() {
    submit("x", 0);
    submit("a", 1);
    submit("a", 1);
    assertThat(batcher.handle(new BatchEvent.Woken(), 10))
        .contains(new BatchAction.Commit(2, List.of(write("a"))));
  }

  private void submit(String key, long nowMs) {
    batcher.handle(new BatchEvent.Submitted(write(key)), nowMs);
  }

  private static ClaimWrite write(String key) {
    return new ClaimWrite("n", key, 0, Optional.of(ROW));
  }
}
