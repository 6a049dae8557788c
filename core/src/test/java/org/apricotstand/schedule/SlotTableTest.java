package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.junit.jupiter.api.Test;

class SlotTableTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");
  private static final AdapterVersion B = new AdapterVersion("b", "v1");

  private final SlotTable slots = new SlotTable();

  /** Guards against a late result of an earlier command that changes a newly loaded slot. */
  @Test
  void lateFailureDoesNotFreeANewerSlot() {
    final long first = slots.startLoad(A, 0);
    slots.replaceAll(Set.of(), 1);
    final long second = slots.startLoad(A, 2);
    assertThat(slots.confirmEmpty(A, first, 3)).isFalse();
    assertThat(slots.get(A)).isNotNull();
    slots.confirmResident(A, first, 4);
    assertThat(slots.isServing(A)).isFalse();
    slots.confirmResident(A, second, 5);
    assertThat(slots.isServing(A)).isTrue();
  }

  /** Guards against a late report that removes a loaded slot or restores an evicted one. */
  @Test
  void recentChangesOverruleReports() {
    slots.replaceAll(Set.of(B), 0);
    slots.confirmResident(A, slots.startLoad(A, 10_000), 10_000);
    slots.confirmEmpty(B, slots.startUnload(slots.get(B), 10_000), 10_000);
    slots.reconcile(Set.of(B), Set.of(), 10_000 + SlotTable.MAX_REPORT_LAG_MS - 1);
    assertThat(slots.isServing(A)).isTrue();
    assertThat(slots.get(B)).isNull();
    slots.reconcile(Set.of(B), Set.of(), 10_000 + SlotTable.MAX_REPORT_LAG_MS);
    assertThat(slots.get(A)).isNull();
    assertThat(slots.isServing(B)).isTrue();
  }

  /** Guards against eviction in quarantine after an adapter was removed and loaded again. */
  @Test
  void reloadDoesNotEndTheQuarantine() {
    slots.setQuarantine(true);
    slots.replaceAll(Set.of(A), 0);
    slots.confirmEmpty(A, slots.get(A).lastCommandId(), 1);
    slots.startLoad(A, 2);
    slots.startLoad(B, 2);
    assertThat(slots.get(A).isQuarantined()).isTrue();
    assertThat(slots.get(B).isQuarantined()).isFalse();
    slots.setQuarantine(false);
    assertThat(slots.get(A).isQuarantined()).isFalse();
  }
}
