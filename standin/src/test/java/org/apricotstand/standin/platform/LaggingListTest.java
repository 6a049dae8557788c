package org.apricotstand.standin.platform;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.platform.InstanceList.ListEntry;
import org.junit.jupiter.api.Test;

/** Guards against a list that shows changes early, or takes back that an instance is leaving. */
final class LaggingListTest {

  private final LaggingList list = new LaggingList(1_000);

  @Test
  void showsChangesAfterTheLag() {
    list.put(listed(1, false), 5_000);
    assertThat(list.shown(5_999)).isEmpty();
    assertThat(list.shown(6_000)).containsExactly(listed(1, false));
    list.remove("entry-1", 7_000);
    assertThat(list.shown(7_999)).hasSize(1);
    assertThat(list.shown(8_000)).isEmpty();
  }

  @Test
  void leavingStaysUntilANewIncarnation() {
    list.put(listed(1, true), 0);
    list.put(listed(1, false), 10);
    assertThat(list.shown(5_000)).containsExactly(listed(1, true));
    list.put(listed(2, false), 5_000);
    assertThat(list.shown(6_000)).containsExactly(listed(2, false));
  }

  private static ListEntry listed(long incarnation, boolean leaving) {
    return new ListEntry("entry-1", "instance", incarnation, "a", "127.0.0.1:1", leaving);
  }
}
