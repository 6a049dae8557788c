package org.apricotstand.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DecayingCountsTest {

  private final DecayingCounts<String> counts = new DecayingCounts<>(20_000);

  /** Guards against popularity that persists after the traffic has shifted. */
  @Test
  void halvesInTheHalfLife() {
    counts.add("a", 0);
    counts.add("a", 0);
    counts.add("b", 20_000);
    assertThat(counts.value("a", 20_000)).isWithin(1e-9).of(1);
    assertThat(counts.total(20_000)).isWithin(1e-9).of(2);
    assertThat(counts.value("unseen", 0)).isEqualTo(0);
  }

  /** Guards against memory that grows with each adapter that was ever requested. */
  @Test
  void removesNegligibleCounts() {
    for (int i = 0; i < 1_000; i++) {
      counts.add("a" + i, 0);
    }
    counts.add("b", 200_000);
    assertThat(counts.size()).isEqualTo(1);
  }
}
