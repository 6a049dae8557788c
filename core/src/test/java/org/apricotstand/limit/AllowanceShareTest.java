package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class AllowanceShareTest {

  private static final long WINDOW_MS = 1_000;

  private final AllowanceShare share = new AllowanceShare(WINDOW_MS);

  // Guards against a process that takes the whole allowance because it knows no other one yet.
  @Test
  void theShareIsZeroUntilTheInstancesAreKnownForAWindow() {
    assertThat(share.fraction(5_000)).isEqualTo(0);
    assertThat(share.setInstances(4, 5_000)).isTrue();
    assertThat(share.fraction(5_999)).isEqualTo(0);
    assertThat(share.fraction(6_000)).isEqualTo(0.25);
  }

  // Guards against a share that grows while others have used theirs in the same window.
  @Test
  void theShareGrowsOneWindowAfterTheNumberOfInstancesHasFallen() {
    share.setInstances(4, 0);
    share.setInstances(2, 5_000);
    assertThat(share.fraction(5_999)).isEqualTo(0.25);
    assertThat(share.fraction(6_000)).isEqualTo(0.5);
  }

  @Test
  void theShareShrinksAtOnce() {
    share.setInstances(2, 0);
    share.setInstances(4, 5_000);
    assertThat(share.fraction(5_000)).isEqualTo(0.25);
  }

  // Guards against a share that grows because an earlier fall takes effect after the number has
  // risen again.
  @Test
  void aFallThatIsTakenBackHasNoEffect() {
    share.setInstances(4, 0);
    share.setInstances(1, 5_000);
    share.setInstances(4, 5_500);
    assertThat(share.fraction(7_000)).isEqualTo(0.25);
    share.setInstances(1, 8_000);
    share.setInstances(3, 8_500);
    assertThat(share.fraction(9_400)).isEqualTo(0.25);
    assertThat(share.fraction(9_500)).isEqualTo(1.0 / 3);
  }
}
