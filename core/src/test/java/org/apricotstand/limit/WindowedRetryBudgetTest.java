package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {

  // Guards against a storm of repeats at failing targets: all instances together stay below
  // ratio x requests + allowance in each window.
  @Test
  void instancesTogetherStayBelowTheLimit() {
    int instances = 7;
    int requests = 100;
    long allowed = IntStream.range(0, instances).mapToLong(i -> repeats(instances, requests)).sum();
    assertThat(allowed).isAtMost((long) (0.2 * instances * requests + 54));
    assertThat(allowed).isAtLeast(1);
  }

  private static long repeats(int instances, int requests) {
    WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 54, 10_000);
    IntStream.range(0, requests).forEach(i -> budget.requested(i));
    return IntStream.range(0, 1_000).filter(i -> budget.tryRepeat(instances, 200)).count();
  }

  @Test
  void spentRepeatsComeBackAfterTheWindow() {
    WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, 1_000);
    assertThat(budget.tryRepeat(1, 0)).isTrue();
    assertThat(budget.tryRepeat(1, 10)).isFalse();
    assertThat(budget.tryRepeat(1, 1_500)).isTrue();
  }
}
