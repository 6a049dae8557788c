package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.limit.AdmissionLimits.Limits;
import org.apricotstand.limit.AdmissionLimits.Request;
import org.apricotstand.model.RequestClass;
import org.junit.jupiter.api.Test;

/** Guards against limits of a new revision that take effect only after a restart. */
class ChangedLimitsTest {

  private static final Request REQUEST = new Request("caller", RequestClass.STANDARD, "letters");
  private static final Limits TWO = new Limits(2, 2, 2);
  private static final Limits ONE = new Limits(1, 1, 1);

  @Test
  void lowerLimitRefusesUntilEnoughRequestsEnded() {
    AdmissionLimits limits = new AdmissionLimits();
    assertThat(limits.admit(REQUEST, TWO)).isEmpty();
    assertThat(limits.admit(REQUEST, TWO)).isEmpty();
    assertThat(limits.admit(REQUEST, ONE)).hasValue(AdmissionLimits.CALLER_LIMIT);
    limits.release(REQUEST);
    limits.release(REQUEST);
    assertThat(limits.admit(REQUEST, ONE)).isEmpty();
  }

  @Test
  void budgetUsesTheNewRatio() {
    RetryBudget budget = new RetryBudget(1.0, 1);
    assertThat(budget.tryRetry()).isTrue();
    budget.setRatio(0.0);
    budget.recordFirstAttempt();
    assertThat(budget.tryRetry()).isFalse();
    budget.setRatio(1.0);
    budget.recordFirstAttempt();
    assertThat(budget.tryRetry()).isTrue();
  }
}
