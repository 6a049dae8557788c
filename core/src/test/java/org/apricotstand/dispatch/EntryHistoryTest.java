package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.apricotstand.model.StoreVersion;
import org.junit.jupiter.api.Test;

class EntryHistoryTest {

  private final EntryHistory history = new EntryHistory();

  private boolean isOutdated(long startedUnixMs, long sequence, long era, long number) {
    TargetEntry entry =
        new TargetEntry("t", "s", "10.0.0.1", 80, "d", 4, false, startedUnixMs, Map.of());
    return history.isOutdated(entry, sequence, new StoreVersion(era, number), 1_000);
  }

  // Guards against entries that are dropped although the store was never restored.
  @Test
  void entriesOfOneEraAreNeverOutdated() {
    assertThat(isOutdated(5, 9, 1, 20)).isFalse();
    assertThat(isOutdated(5, 8, 1, 21)).isFalse();
    assertThat(isOutdated(4, 8, 1, 22)).isFalse();
  }

  // Guards against an entry of the copy that is taken for a newer one, also when it is read twice.
  @Test
  void anEntryOfTheCopyIsOutdated() {
    isOutdated(5, 9, 1, 20);
    assertThat(isOutdated(5, 8, 2, 15)).isTrue();
    assertThat(isOutdated(5, 8, 2, 15)).isTrue();
  }

  // Guards against an entry of the process that ran before the target was restarted.
  @Test
  void anEntryOfAnEarlierProcessIsOutdated() {
    isOutdated(5, 9, 1, 20);
    assertThat(isOutdated(4, 50, 2, 14)).isTrue();
  }

  // Guards against a target that is ignored after it has written again or has started anew.
  @Test
  void anEntryThatWasWrittenSinceIsNot() {
    isOutdated(5, 9, 1, 20);
    assertThat(isOutdated(5, 10, 2, 16)).isFalse();
    assertThat(isOutdated(6, 1, 3, 16)).isFalse();
  }

  // Guards against a target that is ignored for good, because its sequence does not rise with each
  // write.
  @Test
  void onlyTheFirstVersionOfAnEraIsOutdated() {
    isOutdated(5, 9, 1, 20);
    assertThat(isOutdated(5, 9, 2, 15)).isTrue();
    assertThat(isOutdated(5, 9, 2, 17)).isFalse();
  }
}
