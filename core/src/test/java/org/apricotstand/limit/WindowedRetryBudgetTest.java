package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

  // Guards against a retry storm at failing targets: the retries of all instances together must
  // stay below ratio x requests + allowance in each window.
  @Test
  void instancesTogetherStayBelowTheLimit() {
    int instances = 7;
    int requests = 100;
    long allowed =
        IntStream.range(0, instances).mapToLong(i -> countRetries(instances, requests)).sum();
    assertThat(allowed).isAtMost((long) (0.2 * instances * requests + 54));
    assertThat(allowed).isAtLeast(1);
  }

  private static long countRetries(int instances, int requests) {
    WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 54, 10_000);
    IntStream.range(0, requests).forEach(i -> budget.recordRequest(i));
    return IntStream.range(0, 1_000).filter(i -> tryRetry(budget, 1.0 / instances, 200)).count();
  }

  @Test
  void retriesAreAvailableAgainAfterTheWindow() {
    WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, 1_000);
    assertThat(tryRetry(budget, 1, 0)).isTrue();
    assertThat(tryRetry(budget, 1, 10)).isFalse();
    assertThat(tryRetry(budget, 1, 1_500)).isTrue();
  }

  // Guards against a burst of retries that were granted over several windows and waited for the
  // same adapter.
  @Test
  void retriesThatWaitAreCountedWhenTheyAreSent() {
    WindowedRetryBudget budget = new WindowedRetryBudget(0, 10, 1_000);
    int reserved = 0;
    for (long nowMs = 0; nowMs < 5_000; nowMs += 100) {
      reserved += budget.tryReserveRetry(1, nowMs) ? 1 : 0;
    }
    IntStream.range(0, reserved).forEach(i -> budget.recordRetry(5_000));
    assertThat(reserved).isAtLeast(1);
    assertThat(reserved).isAtMost(10);
    assertThat(budget.tryReserveRetry(1, 5_500)).isFalse();
    assertThat(budget.tryReserveRetry(1, 6_500)).isTrue();
  }

  @Test
  void aReleasedRetryIsAvailableAgain() {
    WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, 1_000);
    assertThat(budget.tryReserveRetry(1, 0)).isTrue();
    assertThat(budget.tryReserveRetry(1, 0)).isFalse();
    budget.releaseRetry();
    assertThat(budget.tryReserveRetry(1, 0)).isTrue();
  }

  private static boolean tryRetry(WindowedRetryBudget budget, double share, long nowMs) {
    boolean isReserved = budget.tryReserveRetry(share, nowMs);
    if (isReserved) {
      budget.recordRetry(nowMs);
    }
    return isReserved;
  }
}
