package org.apricotstand.standin.platform;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.platform.InstanceList.ListEntry;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes that are visible too early, and against a leaving entry that is listed as
 * live.
 */
final class LaggingInstanceListTest {

  private final LaggingInstanceList list = new LaggingInstanceList(1_000);

  @Test
  void changesBecomeVisibleAfterTheLag() {
    list.put(entry(1, false), 5_000);
    assertThat(list.visibleEntries(5_999)).isEmpty();
    assertThat(list.visibleEntries(6_000)).containsExactly(entry(1, false));
    list.remove("entry-1", 7_000);
    assertThat(list.visibleEntries(7_999)).hasSize(1);
    assertThat(list.visibleEntries(8_000)).isEmpty();
  }

  @Test
  void leavingStaysUntilANewIncarnation() {
    list.put(entry(1, true), 0);
    list.put(entry(1, false), 10);
    assertThat(list.visibleEntries(5_000)).containsExactly(entry(1, true));
    list.put(entry(2, false), 5_000);
    assertThat(list.visibleEntries(6_000)).containsExactly(entry(2, false));
  }

  private static ListEntry entry(long incarnation, boolean leaving) {
    return new ListEntry("entry-1", "instance", incarnation, "a", "127.0.0.1:1", leaving);
  }
}
