package org.apricotstand.hedge;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class HedgeAllowanceTest {

  private static boolean tryHedge(HedgeAllowance allowance) {
    boolean isAllowed = allowance.allowsHedge();
    if (isAllowed) {
      allowance.recordHedge();
    }
    return isAllowed;
  }

  // Guards against extra work beyond the share, summed over instances with uneven demand.
  @Test
  void hedgesOfAllInstancesKeepToTheShare() {
    int requests = 0;
    int hedges = 0;
    for (int instance = 1; instance <= 63; instance++) {
      HedgeAllowance allowance = new HedgeAllowance(0.02);
      for (int i = 0; i < 7 * instance; i++) {
        allowance.recordRequest();
        requests++;
        hedges += tryHedge(allowance) ? 1 : 0;
        assertThat((double) hedges).isAtMost(0.02 * requests + 1e-6);
      }
    }
    assertThat(hedges).isAtLeast(1);
  }

  // Guards against a burst of hedges that a long time without slow answers has saved up.
  @Test
  void keepsFewUnusedHedges() {
    HedgeAllowance allowance = new HedgeAllowance(0.5);
    for (int i = 0; i < 1_000; i++) {
      allowance.recordRequest();
    }
    int hedges = 0;
    while (tryHedge(allowance)) {
      hedges++;
    }
    assertThat(hedges).isEqualTo((int) HedgeAllowance.MAX_SAVED);
  }

  // Guards against hedges although the operator has turned them off.
  @Test
  void aShareOfZeroAllowsNone() {
    HedgeAllowance allowance = new HedgeAllowance(0);
    for (int i = 0; i < 1_000; i++) {
      allowance.recordRequest();
      assertThat(allowance.allowsHedge()).isFalse();
    }
  }
}
