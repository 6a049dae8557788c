package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.apricotstand.model.StoreVersion;
import org.junit.jupiter.api.Test;

class EntryHeartbeatsTest {

  private final EntryHeartbeats heartbeats = new EntryHeartbeats(1_200);

  // Guards against requests to a target that has left while reads of the store failed for a moment.
  @Test
  void anEntryThatIsGoneSoonAfterAWriteWasRemoved() {
    heartbeats.record("t", StoreVersion.withoutEra(2), 10_000);
    assertThat(heartbeats.mayHaveExpired("t", 13_599)).isFalse();
  }

  // Guards against the loss of all targets after an outage in which their entries expired.
  @Test
  void anEntryThatWasNotWrittenForThreeHeartbeatsMayHaveExpired() {
    heartbeats.record("t", StoreVersion.withoutEra(1), 9_000);
    heartbeats.record("t", StoreVersion.withoutEra(2), 10_000);
    assertThat(heartbeats.mayHaveExpired("t", 13_600)).isTrue();
  }

  // Guards against an entry that seems alive because the whole list was read again.
  @Test
  void aVersionThatIsReadAgainIsNoHeartbeat() {
    heartbeats.record("t", StoreVersion.withoutEra(1), 10_000);
    heartbeats.record("t", StoreVersion.withoutEra(1), 13_000);
    assertThat(heartbeats.mayHaveExpired("t", 13_600)).isTrue();
  }

  // Guards against the age of an entry that another process of the same name wrote before.
  @Test
  void anEntryThatIsGoneIsForgotten() {
    heartbeats.record("t", StoreVersion.withoutEra(1), 0);
    heartbeats.mayHaveExpired("t", 5_000);
    assertThat(heartbeats.mayHaveExpired("t", 60_000)).isFalse();
  }

  @Test
  void heartbeatsTakeTime() {
    assertThrows(IllegalArgumentException.class, () -> new EntryHeartbeats(0));
  }
}
