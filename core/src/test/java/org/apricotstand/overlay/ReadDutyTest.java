package org.apricotstand.overlay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ReadDutyTest {

  private static final long PERIOD_MS = 1_000;

  // Guards against an instance that waits for news that nobody sends.
  @Test
  void anInstanceThatWasToldNothingReads() {
    assertThat(new ReadDuty(PERIOD_MS, 0.5).mustRead(true, 0)).isTrue();
  }

  // Guards against calls to the store that grow with the number of instances.
  @Test
  void aMemberThatIsToldRegularlyDoesNotRead() {
    ReadDuty duty = new ReadDuty(PERIOD_MS, 0);
    duty.recordTold(0);
    assertThat(duty.mustRead(true, 1_499)).isFalse();
    duty.recordTold(1_499);
    assertThat(duty.mustRead(true, 2_998)).isFalse();
  }

  // Guards against members that stay behind when their relay is cut off from the store.
  @Test
  void aMemberReadsWhenItsRelayTellsNothingMore() {
    ReadDuty duty = new ReadDuty(PERIOD_MS, 0);
    duty.recordTold(0);
    assertThat(duty.mustRead(true, PERIOD_MS + ReadDuty.NEWS_DELAY_MS)).isTrue();
  }

  // Guards against members that all start to read in the same moment.
  @Test
  void membersStartToReadOneAfterTheOther() {
    ReadDuty late = new ReadDuty(PERIOD_MS, 1);
    late.recordTold(0);
    assertThat(late.mustRead(true, 1_999)).isFalse();
    assertThat(late.mustRead(true, 2_000)).isTrue();
  }

  // Guards against a relay that waits for another one to read.
  @Test
  void aRelayAlwaysReads() {
    ReadDuty duty = new ReadDuty(PERIOD_MS, 0);
    duty.recordTold(0);
    assertThat(duty.mustRead(false, 1)).isTrue();
  }
}
