package org.apricotstand.tenant;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.model.StoreVersion;
import org.junit.jupiter.api.Test;

class ConfigurationFreshnessTest {

  private final ConfigurationFreshness freshness = new ConfigurationFreshness();

  // Guards against a read that counts from its answer: what it returned may be as old as its start.
  @Test
  void aReadConfirmsTheTimeAtWhichItWasSent() {
    assertThat(freshness.isConfirmed()).isFalse();
    freshness.recordRead(1_000);
    assertThat(freshness.confirmedMs()).isEqualTo(1_000);
    assertThat(freshness.isConfirmed()).isTrue();
  }

  // Guards against an age that shrinks because an older confirmation comes late.
  @Test
  void anOlderConfirmationChangesNothing() {
    freshness.recordRow(StoreVersion.withoutEra(7));
    freshness.recordRead(5_000);
    freshness.recordRead(4_000);
    assertThat(freshness.recordAnswer(5_100, StoreVersion.withoutEra(7), 600, 5_200)).isTrue();
    assertThat(freshness.confirmedMs()).isEqualTo(5_000);
  }

  // Guards against a member that takes the confirmation of its relay for newer than it is: the age
  // at the relay counts, and so does the time that question and answer took, however long.
  @Test
  void anAnswerCountsFromTheQuestionLessTheAgeAtTheRelay() {
    freshness.recordRow(StoreVersion.withoutEra(7));
    assertThat(freshness.recordAnswer(10_000, StoreVersion.withoutEra(7), 900, 14_000)).isTrue();
    assertThat(freshness.confirmedMs()).isEqualTo(9_100);
  }

  // Guards against a member that calls its configuration the newest although the relay has told of
  // a newer row, which was lost or is still on its way.
  @Test
  void anAnswerAboutANewerRowConfirmsNothing() {
    freshness.recordRow(StoreVersion.withoutEra(7));
    freshness.recordRead(1_000);
    assertThat(freshness.recordAnswer(2_000, StoreVersion.withoutEra(8), 0, 2_010)).isFalse();
    assertThat(freshness.confirmedMs()).isEqualTo(1_000);
    freshness.recordRow(StoreVersion.withoutEra(8));
    assertThat(freshness.recordAnswer(2_500, StoreVersion.withoutEra(8), 0, 2_510)).isTrue();
    assertThat(freshness.confirmedMs()).isEqualTo(2_500);
  }

  // Guards against a late row that replaces the version of a newer one.
  @Test
  void anOlderRowDoesNotReplaceTheVersionOfANewerOne() {
    freshness.recordRow(StoreVersion.withoutEra(8));
    freshness.recordRow(StoreVersion.withoutEra(7));
    assertThat(freshness.rowVersion()).isEqualTo(StoreVersion.withoutEra(8));
  }

  // Guards against an answer to a question of a former process after a restart of the machine,
  // whose
  // clock starts again.
  @Test
  void anAnswerToAQuestionOfTheFutureConfirmsNothing() {
    assertThat(freshness.recordAnswer(50_000, StoreVersion.withoutEra(0), 0, 1_000)).isFalse();
    assertThat(freshness.isConfirmed()).isFalse();
  }

  // Guards against an instance that stays fresh by asking a relay which is cut off itself: the age
  // goes on growing over both.
  @Test
  void aRelayThatIsCutOffDoesNotKeepItsMembersFresh() {
    ConfigurationFreshness relay = new ConfigurationFreshness();
    relay.recordRow(StoreVersion.withoutEra(7));
    relay.recordRead(1_000);
    freshness.recordRow(StoreVersion.withoutEra(7));
    for (long askedMs = 2_000; askedMs < 20_000; askedMs += 500) {
      long answeredMs = askedMs + 20;
      long ageMs = answeredMs - relay.confirmedMs();
      freshness.recordAnswer(askedMs, relay.rowVersion(), ageMs, askedMs + 40);
      assertThat(freshness.confirmedMs()).isAtMost(1_000);
    }
    assertThat(new FreshnessBounds(true, 5_000, 3_000).canAdmit(freshness.confirmedMs(), 6_001))
        .isFalse();
  }
}
