package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.apricotstand.model.RequestClass;
import org.junit.jupiter.api.Test;

/** Guards against limits of a new revision that take effect only after a restart. */
class ChangedLimitsTest {

  @Test
  void lowerLimitRefusesUntilEnoughRequestsEnded() {
    AdmissionLimits limits = new AdmissionLimits(AdmissionLimits.Limits.DEFAULT);
    limits.admit("caller", RequestClass.STANDARD);
    limits.admit("caller", RequestClass.STANDARD);
    limits.limitTo(new AdmissionLimits.Limits(1, Map.of()));
    assertThat(limits.admit("caller", RequestClass.STANDARD))
        .hasValue(AdmissionLimits.CALLER_LIMIT);
    limits.release("caller", RequestClass.STANDARD);
    limits.release("caller", RequestClass.STANDARD);
    assertThat(limits.admit("caller", RequestClass.STANDARD)).isEmpty();
  }

  @Test
  void budgetEarnsByTheNewFraction() {
    RetryBudget budget = new RetryBudget(1.0, 1);
    assertThat(budget.tryRetry()).isTrue();
    budget.earn(0.0);
    budget.attempted();
    assertThat(budget.tryRetry()).isFalse();
    budget.earn(1.0);
    budget.attempted();
    assertThat(budget.tryRetry()).isTrue();
  }
}
