package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TenantQuotasTest {

  private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0, 0);
  private static final Map<String, QuotaLimit> LIMITS = Map.of("a", new QuotaLimit(100, 200));

  private final TenantQuotas quotas = new TenantQuotas(BOUNDS);

  private long takeAll(long nowMs) {
    long taken = 0;
    while (quotas.tryTake("a", 1, nowMs)) {
      taken++;
    }
    return taken;
  }

  private static QuotaShares shares(double equalPart, double fraction, long validUntilMs) {
    return new QuotaShares(
        equalPart, Map.of("a", fraction), Set.of(), validUntilMs, validUntilMs + 8_000);
  }

  // Guards against an instance that admits more than its share of a window.
  @Test
  void admitsItsShareInEachWindow() {
    quotas.setLimits(LIMITS, 0);
    quotas.setShares(shares(0.5, 0.5, 1_000_000));
    takeAll(0);
    assertThat(takeAll(20_000)).isEqualTo(500);
    assertThat(takeAll(27_000)).isEqualTo(0);
    assertThat(takeAll(29_000)).isEqualTo(500);
  }

  // Guards against a process that was paused and then uses a share which others have taken.
  @Test
  void anOldShareIsNotUsedAfterAPause() {
    quotas.setLimits(LIMITS, 0);
    quotas.setShares(shares(0.1, 0.9, 10_000));
    takeAll(0);
    assertThat(takeAll(9_000)).isEqualTo(900);
    assertThat(takeAll(30_000)).isEqualTo(100);
    quotas.setShares(shares(0.1, 0.02, 50_000));
    assertThat(takeAll(49_000)).isEqualTo(20);
    // What others have used of the equal part has not left the window before 58 s.
    assertThat(takeAll(57_900)).isEqualTo(20);
    quotas.waitMs("a", 1, 58_000);
    assertThat(takeAll(70_000)).isEqualTo(100);
  }

  // Guards against a lowered limit that does not hold for what was saved up under the old one.
  @Test
  void aLowerLimitHoldsAtOnce() {
    quotas.setLimits(LIMITS, 0);
    quotas.setShares(shares(1, 1, 1_000_000));
    takeAll(0);
    quotas.setLimits(Map.of("a", new QuotaLimit(10, 20)), 9_000);
    assertThat(takeAll(9_000)).isEqualTo(100);
    quotas.setLimits(Map.of(), 9_000);
    assertThat(quotas.isLimited("a")).isFalse();
    assertThat(quotas.tryTake("a", 1_000_000, 9_000)).isTrue();
  }

  // Guards against demand beyond the limit that uses a window up at its start, so that nothing is
  // served in the rest of it.
  @Test
  void anOverloadedTenantIsServedAllTheTime() {
    quotas.setLimits(LIMITS, 0);
    quotas.setShares(new QuotaShares(1, Map.of(), Set.of("a"), 1_000_000, 0));
    takeAll(0);
    for (long nowMs = 1_000; nowMs < 7_000; nowMs += 1_000) {
      assertThat(takeAll(nowMs)).isAtLeast(100);
    }
  }

  // Guards against cost that stays taken although no target has run the request.
  @Test
  void givenBackCostCanBeTakenAgain() {
    quotas.setLimits(LIMITS, 0);
    quotas.setShares(shares(1, 1, 1_000_000));
    takeAll(0);
    assertThat(quotas.tryTake("a", 1_000, 10_000)).isTrue();
    assertThat(quotas.waitMs("a", 1_000, 10_000)).isEqualTo(8_000);
    quotas.giveBack("a", 1_000, 10_000, 11_000);
    assertThat(quotas.tryTake("a", 1_000, 11_000)).isTrue();
  }

  // Guards against admission before the number of instances is known.
  @Test
  void admitsNothingWithoutAShare() {
    quotas.setLimits(LIMITS, 0);
    assertThat(quotas.tryTake("a", 1, 60_000)).isFalse();
    assertThat(quotas.waitMs("a", 1, 60_000)).isLessThan(8_000L);
    assertThat(quotas.tryTake("a", 0, 60_000)).isTrue();
    assertThat(quotas.tryTake("b", 1, 60_000)).isTrue();
  }
}
