package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CrashCountsTest {

  private final CrashCounts counts = new CrashCounts();

  // Guards against a request that is retried through several instances and crashes one target after
  // the other.
  @Test
  void refusesAfterCrashesOfTwoTargets() {
    counts.recordCrash("f", "t1#1", 0);
    assertThat(counts.isRefused("f", 1)).isFalse();
    counts.recordCrash("f", "t2#1", 2);
    assertThat(counts.isRefused("f", 3)).isTrue();
    assertThat(counts.isRefused("g", 3)).isFalse();
  }

  // Guards against a harmless request that is refused because two instances report one crash.
  @Test
  void crashReportedTwiceCountsOnce() {
    counts.recordCrash("f", "t1#1", 0);
    counts.recordCrash("f", "t1#1", 1);
    assertThat(counts.isRefused("f", 2)).isFalse();
  }

  @Test
  void crashesExpire() {
    counts.recordCrash("f", "t1#1", 0);
    counts.recordCrash("f", "t2#1", 0);
    assertThat(counts.isRefused("f", CrashCounts.CRASH_RETENTION_MS)).isFalse();
  }

  // Guards against memory use that grows with every request that ran on a crashed target.
  @Test
  void keepsABoundedNumberOfFingerprints() {
    for (int i = 0; i <= CrashCounts.MAX_FINGERPRINTS; i++) {
      counts.recordCrash("f" + i, "t1#1", i);
      counts.recordCrash("f" + i, "t2#1", i);
    }
    assertThat(counts.isRefused("f0", 5_000)).isFalse();
    assertThat(counts.isRefused("f" + CrashCounts.MAX_FINGERPRINTS, 5_000)).isTrue();
  }
}
