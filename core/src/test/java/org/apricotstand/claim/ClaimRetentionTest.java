package org.apricotstand.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClaimRetentionTest {

  /**
   * Guards against the removal of a claim whose caller may still retry, and against the removal of
   * too many rows in one transaction.
   */
  @Test
  void removesOnlyOldRowsAndFewAtOnce() {
    List<Map.Entry<String, StoredClaim>> rows = new ArrayList<>();
    for (int i = 0; i < 2 * ClaimRetention.MAX_ROWS_PER_TRANSACTION; i++) {
      rows.add(Map.entry("old-" + i, claimedAt(i)));
    }
    rows.add(Map.entry("young", claimedAt(1_000)));
    List<ClaimWrite> removals = ClaimRetention.removals(rows, ClaimRetention.RETENTION_MS + 999);
    assertThat(removals).hasSize(ClaimRetention.MAX_ROWS_PER_TRANSACTION);
    assertThat(removals.getFirst().key()).isEqualTo("old-0");
    assertThat(removals.getFirst().expectedVersion()).isEqualTo(5);
    assertThat(ClaimRetention.removals(rows.subList(rows.size() - 1, rows.size()), 999)).isEmpty();
  }

  /** Guards against equal keys for different services or for a different split of the same text. */
  @Test
  void keysAreScopedByService() {
    assertThat(ClaimHash.key("orders", "1")).isNotEqualTo(ClaimHash.key("stock", "1"));
    assertThat(ClaimHash.key("ab", "c")).isNotEqualTo(ClaimHash.key("a", "bc"));
    assertThat(ClaimRetention.keyPrefix(0x2f)).isEqualTo("02f");
  }

  private static StoredClaim claimedAt(long epochMs) {
    return new StoredClaim(
        new ClaimRow(ClaimRow.State.CLAIMED, "entry-1", 1, "n", "f", epochMs, null), 5);
  }
}
