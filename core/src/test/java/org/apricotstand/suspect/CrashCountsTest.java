package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CrashCountsTest {

  private final CrashCounts counts = new CrashCounts();

  // Guards against a request that takes down one target after the other through all instances.
  @Test
  void refusesAfterCrashesOfTwoTargets() {
    counts.crashed("f", "t1#1", 0);
    assertThat(counts.isRefused("f", 1)).isFalse();
    counts.crashed("f", "t2#1", 2);
    assertThat(counts.isRefused("f", 3)).isTrue();
    assertThat(counts.isRefused("g", 3)).isFalse();
  }

  // Guards against an innocent request that is refused because two instances report one crash.
  @Test
  void oneCrashCountsOnce() {
    counts.crashed("f", "t1#1", 0);
    counts.crashed("f", "t1#1", 1);
    assertThat(counts.isRefused("f", 2)).isFalse();
  }

  @Test
  void forgetsAfterAWhile() {
    counts.crashed("f", "t1#1", 0);
    counts.crashed("f", "t2#1", 0);
    assertThat(counts.isRefused("f", CrashCounts.MEMORY_MS)).isFalse();
  }

  // Guards against memory that grows with every request that ran on a crashed target.
  @Test
  void keepsABoundedNumber() {
    for (int i = 0; i <= CrashCounts.MAX_FINGERPRINTS; i++) {
      counts.crashed("f" + i, "t1#1", i);
      counts.crashed("f" + i, "t2#1", i);
    }
    assertThat(counts.isRefused("f0", 5_000)).isFalse();
    assertThat(counts.isRefused("f" + CrashCounts.MAX_FINGERPRINTS, 5_000)).isTrue();
  }
}
