package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class TargetEntryTest {

  private static TargetEntry entry(String id, int port, long startedUnixMs) {
    return new TargetEntry(id, "s", "10.0.0.1", port, "d", 1, false, startedUnixMs, Map.of());
  }

  // Guards against a restart that goes unnoticed because the target has the same id or address, and
  // against one that is seen in an entry of another target or in an older entry of the same one.
  @Test
  void aLaterStartWithTheSameIdOrAddressReplacesATarget() {
    TargetEntry target = entry("t1", 80, 5);
    assertThat(target.isReplacedBy(entry("t1", 80, 6))).isTrue();
    assertThat(target.isReplacedBy(entry("t1", 81, 6))).isTrue();
    assertThat(target.isReplacedBy(entry("t2", 80, 6))).isTrue();
    assertThat(target.isReplacedBy(entry("t2", 81, 6))).isFalse();
    assertThat(target.isReplacedBy(entry("t1", 80, 5))).isFalse();
    assertThat(target.isReplacedBy(entry("t1", 80, 4))).isFalse();
  }
}
