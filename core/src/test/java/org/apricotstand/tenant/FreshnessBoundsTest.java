package org.apricotstand.tenant;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class FreshnessBoundsTest {

  private static final long REVOKE_MS = 5_000;
  private static final FreshnessBounds STRICT = new FreshnessBounds(true, REVOKE_MS, 3_000);

  // Guards against a removed key that works at an instance without contact to the store: whatever
  // the times of the last confirmation, the removal and the request.
  @Property(seed = "7")
  void noRequestIsAdmittedLongAfterTheRemovalOfItsKey(
      @ForAll @LongRange(min = 0, max = 100_000) long confirmedMs,
      @ForAll @LongRange(min = 1, max = 20_000) long removedAfterMs,
      @ForAll @LongRange(min = 1, max = 20_000) long sentAfterMs) {
    long removedMs = confirmedMs + removedAfterMs;
    long sentMs = removedMs + REVOKE_MS + sentAfterMs;
    assertThat(STRICT.canAdmit(confirmedMs, sentMs)).isFalse();
  }

  // Guards against refusals while callers are owed service: up to six tenths of the time after the
  // last contact, with the age that the configuration may have at that moment.
  @Test
  void requestsAreAdmittedDuringAShortOutage() {
    long ageAtTheLastContactMs = 2 * STRICT.readWaitMs(1_000) + 600;
    assertThat(STRICT.canAdmit(0, ageAtTheLastContactMs + REVOKE_MS * 6 / 10)).isTrue();
    assertThat(STRICT.canAdmit(0, REVOKE_MS)).isFalse();
  }

  // Guards against an instance that goes on admitting requests after it was stopped by a signal:
  // the monotonic clock goes on, so the first check after the pause sees the whole age.
  @Test
  void thePauseOfAProcessCountsAsAge() {
    long confirmedMs = 1_000_000;
    assertThat(STRICT.canAdmit(confirmedMs, confirmedMs + 100)).isTrue();
    long afterPauseMs = confirmedMs + 100 + REVOKE_MS;
    assertThat(STRICT.canAdmit(confirmedMs, afterPauseMs)).isFalse();
    assertThat(STRICT.canAdmit(afterPauseMs, afterPauseMs + 1)).isTrue();
  }

  // Guards against an instance that admits requests before anything confirmed its configuration.
  @Test
  void nothingIsAdmittedBeforeTheFirstConfirmation() {
    assertThat(STRICT.canAdmit(FreshnessBounds.NEVER_MS, 0)).isFalse();
    assertThat(STRICT.canAdmit(FreshnessBounds.NEVER_MS, Long.MAX_VALUE / 2)).isFalse();
    assertThat(STRICT.canRejectKey(FreshnessBounds.NEVER_MS, 0)).isFalse();
    assertThat(STRICT.mustRead(FreshnessBounds.NEVER_MS, 0)).isTrue();
  }

  // Guards against refusals in a deployment that did not ask for strict revocation.
  @Test
  void withoutStrictRevocationKnownKeysAlwaysWork() {
    FreshnessBounds bounds = FreshnessBounds.DEFAULT;
    assertThat(bounds.canAdmit(0, 1_000_000)).isTrue();
    assertThat(bounds.readWaitMs(1_000)).isEqualTo(1_000);
  }

  // Guards against a 401 for a key of a configuration that this instance has not got yet.
  @Test
  void anUnknownKeyIsRefusedForGoodOnlyWithARecentConfiguration() {
    assertThat(STRICT.canRejectKey(0, 2_900)).isTrue();
    assertThat(STRICT.canRejectKey(0, 3_001)).isFalse();
  }

  // Guards against instances that all read the store although a relay reads for them, and against
  // one that waits for its relay until it has to refuse requests.
  @Test
  void anInstanceReadsItselfAfterAnUnusualAgeAndBeforeItMustRefuse() {
    long usualAgeMs = 2 * STRICT.readWaitMs(1_000) + 600;
    assertThat(STRICT.mustRead(0, usualAgeMs)).isFalse();
    assertThat(STRICT.mustRead(0, REVOKE_MS / 2)).isTrue();
    assertThat(FreshnessBounds.DEFAULT.mustRead(0, 2 * 1_000 + 600)).isFalse();
    assertThat(FreshnessBounds.DEFAULT.mustRead(0, 2_900)).isTrue();
  }
}
