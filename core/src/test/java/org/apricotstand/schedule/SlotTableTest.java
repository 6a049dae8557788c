package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.apricotstand.model.AdapterVersion;
import org.junit.jupiter.api.Test;

class SlotTableTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");
  private static final AdapterVersion B = new AdapterVersion("b", "v1");

  private final SlotTable slots = new SlotTable();

  /** Guards against a late result of an earlier order that frees a slot of a newer one. */
  @Test
  void lateFailureDoesNotFreeANewerSlot() {
    final long first = slots.startLoad(A, 0);
    slots.restart(Set.of(), 1);
    final long second = slots.startLoad(A, 2);
    assertThat(slots.confirmEmpty(A, first, 3)).isFalse();
    assertThat(slots.get(A)).isNotNull();
    slots.confirmResident(A, first, 4);
    assertThat(slots.isServing(A)).isFalse();
    slots.confirmResident(A, second, 5);
    assertThat(slots.isServing(A)).isTrue();
  }

  /** Guards against a late report that removes a slot or brings an evicted one back. */
  @Test
  void recentChangesOverruleReports() {
    slots.restart(Set.of(B), 0);
    slots.confirmResident(A, slots.startLoad(A, 10_000), 10_000);
    slots.confirmEmpty(B, slots.startUnload(slots.get(B), 10_000), 10_000);
    slots.reconcile(Set.of(B), Set.of(), 10_000 + SlotTable.REPORT_LAG_MS - 1);
    assertThat(slots.isServing(A)).isTrue();
    assertThat(slots.get(B)).isNull();
    slots.reconcile(Set.of(B), Set.of(), 10_000 + SlotTable.REPORT_LAG_MS);
    assertThat(slots.get(A)).isNull();
    assertThat(slots.isServing(B)).isTrue();
  }

  /** Guards against a quarantine that a reload of the adapter ends. */
  @Test
  void quarantineOutlivesAReload() {
    slots.setQuarantine(true);
    slots.restart(Set.of(A), 0);
    slots.confirmEmpty(A, slots.get(A).order(), 1);
    slots.startLoad(A, 2);
    slots.startLoad(B, 2);
    assertThat(slots.get(A).isInherited()).isTrue();
    assertThat(slots.get(B).isInherited()).isFalse();
    slots.setQuarantine(false);
    assertThat(slots.get(A).isInherited()).isFalse();
  }
}
