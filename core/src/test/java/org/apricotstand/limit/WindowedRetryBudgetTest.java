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
    return IntStream.range(0, 1_000).filter(i -> budget.tryRetry(instances, 200)).count();
  }

  @Test
  void retriesAreAvailableAgainAfterTheWindow() {
    WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, 1_000);
    assertThat(budget.tryRetry(1, 0)).isTrue();
    assertThat(budget.tryRetry(1, 10)).isFalse();
    assertThat(budget.tryRetry(1, 1_500)).isTrue();
  }
}
