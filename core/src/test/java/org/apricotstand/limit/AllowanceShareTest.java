package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class AllowanceShareTest {

  private static final long WINDOW_MS = 1_000;
  private static final double FULL = 1 - AllowanceShare.NEW_PROCESS_FRACTION;

  private final AllowanceShare share = new AllowanceShare(WINDOW_MS);

  // Guards against a process that takes the whole allowance because it knows no other one yet.
  @Test
  void theShareIsZeroUntilTheInstancesAreKnown() {
    assertThat(share.fraction(5_000)).isEqualTo(0);
    assertThat(share.setInstances(4, 5_000)).isTrue();
    assertThat(share.fraction(5_000)).isGreaterThan(0);
  }

  // Guards against restarts that add to what the previous lives have used.
  @Test
  void theSharesOfNewProcessesAndOfTheOthersAddUpToOne() {
    share.setInstances(4, 5_000);
    double newShare = share.fraction(5_999);
    double fullShare = share.fraction(6_000);
    assertThat(fullShare).isGreaterThan(newShare);
    assertThat(4 * (newShare + fullShare)).isWithin(1e-9).of(1);
  }

  // Guards against a share that grows while others have used theirs in the same window.
  @Test
  void theShareGrowsOneWindowAfterTheNumberOfInstancesHasFallen() {
    share.setInstances(4, 0);
    share.setInstances(2, 5_000);
    assertThat(share.fraction(5_999)).isEqualTo(FULL / 4);
    assertThat(share.fraction(6_000)).isEqualTo(FULL / 2);
  }

  @Test
  void theShareShrinksAtOnce() {
    share.setInstances(2, 0);
    share.setInstances(4, 5_000);
    assertThat(share.fraction(5_000)).isEqualTo(FULL / 4);
  }

  // Guards against a share that grows because an earlier fall takes effect after the number has
  // risen again.
  @Test
  void aFallThatIsTakenBackHasNoEffect() {
    share.setInstances(4, 0);
    share.setInstances(1, 5_000);
    share.setInstances(4, 5_500);
    assertThat(share.fraction(7_000)).isEqualTo(FULL / 4);
    share.setInstances(1, 8_000);
    share.setInstances(3, 8_500);
    assertThat(share.fraction(9_400)).isEqualTo(FULL / 4);
    assertThat(share.fraction(9_500)).isEqualTo(FULL / 3);
  }
}
