package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Step;
import org.junit.jupiter.api.Test;

class LoadBackoffTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");
  private static final AdapterVersion B = new AdapterVersion("b", "v1");
  private static final Failure FAILURE = new Failure(Step.LOAD, "engine-1", "failed", "test");

  private final LoadBackoff backoff = new LoadBackoff(new SplittableRandom(1));

  /** Guards against a delay that is too short, grows without limit or affects another adapter. */
  @Test
  void doublesUpToABoundPerAdapter() {
    for (int failures = 1; failures <= 40; failures++) {
      backoff.recordFailure(A, FAILURE, 0);
      long fullMs = Math.min(10_000, 200L << Math.min(6, failures - 1));
      assertThat(backoff.retryAtMs(A)).isAtLeast(fullMs / 2);
      assertThat(backoff.retryAtMs(A)).isAtMost(fullMs);
    }
    assertThat(backoff.retryAtMs(B)).isLessThan(0);
    assertThat(backoff.lastFailure(A)).isEqualTo(FAILURE);
    backoff.recordSuccess(A);
    assertThat(backoff.retryAtMs(A)).isLessThan(0);
  }

  /** Guards against owners that retry a failed load at the same moment. */
  @Test
  void jitterDependsOnTheGenerator() {
    LoadBackoff other = new LoadBackoff(new SplittableRandom(2));
    backoff.recordFailure(A, FAILURE, 0);
    other.recordFailure(A, FAILURE, 0);
    assertThat(other.retryAtMs(A)).isNotEqualTo(backoff.retryAtMs(A));
  }
}
