package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaLenderTest {

  private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0, 0);
  private static final String TENANT = "a";

  private long nowMs = 100_000;
  private final QuotaLender lender = new QuotaLender(BOUNDS, nowMs - BOUNDS.windowMs());

  @BeforeEach
  void setCredit() {
    lender.setLimits(Map.of(TENANT, new QuotaLimit(1_000, 2_000)));
    setCredit(0.5);
  }

  /** Sets the credit as a part of the limit, which is 10,000 units in a window. */
  private void setCredit(double fraction) {
    lender.setCredit(new QuotaCredit(0, Map.of(TENANT, fraction), Set.of(), nowMs + 60_000), nowMs);
  }

  private boolean lend(String borrower, long number, long cost) {
    return lender.lend(borrower, number, TENANT, cost, nowMs);
  }

  private long open() {
    return lender.openLoans(nowMs).getOrDefault(TENANT, 0L);
  }

  // Guards against loans beyond the credit, also when the first ones are settled meanwhile: other
  // instances may not have seen their use.
  @Test
  void loansOfTheLastSecondAreWithinTheCredit() {
    assertThat(lend("n1", 1, 3_000)).isTrue();
    lender.recordPublished(nowMs);
    lender.recordReport("n1", 1);
    setCredit(0.5);
    assertThat(lend("n1", 2, 3_000)).isFalse();
    assertThat(lend("n1", 3, 2_000)).isTrue();
    nowMs += FleetQuotas.SETTLING_MS;
    setCredit(0.2);
    assertThat(lend("n1", 4, 1_000)).isFalse();
    lender.recordPublished(nowMs);
    nowMs += FleetQuotas.SETTLING_MS;
    setCredit(0.2);
    assertThat(lend("n1", 5, 1_500)).isTrue();
  }

  // Guards against a loan that counts neither at the relay nor at its borrower, or at both.
  @Test
  void aLoanIsOpenUntilAReportSettlesIt() {
    lend("n1", 1, 1_000);
    lend("n1", 2, 500);
    lend("n2", 1, 200);
    assertThat(open()).isEqualTo(1_700);
    lender.recordReport("n1", 1);
    assertThat(open()).isEqualTo(700);
    lender.recordReport("n1", 0);
    lender.recordReport("n2", 1);
    assertThat(open()).isEqualTo(500);
  }

  // Guards against messages that arrive twice or late and lend twice.
  @Test
  void aQuestionThatArrivesAgainCountsOnce() {
    assertThat(lend("n1", 1, 3_000)).isTrue();
    assertThat(lend("n1", 1, 3_000)).isTrue();
    assertThat(open()).isEqualTo(3_000);
    lender.recordReport("n1", 2);
    assertThat(lend("n1", 1, 100)).isFalse();
    assertThat(lend("n1", 2, 100)).isFalse();
    assertThat(open()).isEqualTo(0);
  }

  // Guards against the loans of a lost borrower that are lent again while their use is in the
  // window, and against a new process of it whose numbers settle them.
  @Test
  void loansOfALostBorrowerCountUntilTheyLeftTheWindow() {
    lend("n1", 1, 1_000);
    lender.recordLost("n1");
    lender.recordReport("n1", 5);
    nowMs += BOUNDS.windowMs();
    assertThat(open()).isEqualTo(1_000);
    nowMs += 2_000;
    assertThat(open()).isEqualTo(0);
  }

  // Guards against a relay that lends what is not valid any more, after a pause or a lost contact.
  @Test
  void nothingIsLentAfterTheDeadlineOfTheCredit() {
    nowMs += 60_000;
    assertThat(lend("n1", 1, 1)).isFalse();
    setCredit(0.5);
    assertThat(lend("n1", 2, 1)).isTrue();
    lender.setCredit(QuotaCredit.NONE, nowMs);
    assertThat(lend("n1", 3, 1)).isFalse();
  }

  // Guards against a process that restarts and lends once more what it has just lent.
  @Test
  void theCreditOfANewProcessGrowsFromNothing() {
    QuotaLender restarted = new QuotaLender(BOUNDS, nowMs);
    restarted.setLimits(Map.of(TENANT, new QuotaLimit(1_000, 2_000)));
    restarted.setCredit(new QuotaCredit(0.4, Map.of(), Set.of(), nowMs + 60_000), nowMs);
    assertThat(restarted.lend("n1", 1, TENANT, 1, nowMs)).isFalse();
    nowMs += BOUNDS.windowMs() / 4;
    assertThat(restarted.lend("n1", 2, TENANT, 1_001, nowMs)).isFalse();
    assertThat(restarted.lend("n1", 3, TENANT, 1_000, nowMs)).isTrue();
    assertThat(restarted.lend("n1", 4, TENANT, 1, nowMs)).isFalse();
  }

  // Guards against a lower limit that binds only when the credit is computed again.
  @Test
  void aLowerLimitHoldsAtOnce() {
    lender.setLimits(Map.of(TENANT, new QuotaLimit(100, 200)));
    assertThat(lend("n1", 1, 600)).isFalse();
    assertThat(lend("n1", 2, 500)).isTrue();
    lender.setLimits(Map.of());
    assertThat(lend("n1", 3, 1)).isFalse();
  }
}
