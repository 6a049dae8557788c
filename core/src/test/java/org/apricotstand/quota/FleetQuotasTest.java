package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Two instances that relay for themselves, of four that are registered. */
class FleetQuotasTest {

  private static final double TOLERANCE = 1e-6;
  private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000);
  private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0, 0);

  private final FleetQuotas quotas = new FleetQuotas("n1", BOUNDS);
  private long sequence;

  private QuotaShares share(
      TenantUse own, TenantUse other, long otherScope, int steps, long fromMs) {
    QuotaShares shares = QuotaShares.NONE;
    quotas.setLimits(Map.of("a", LIMIT));
    quotas.setInstances(4);
    for (long nowMs = fromMs; nowMs < fromMs + steps * 500L; nowMs += 500) {
      sequence++;
      quotas.recordReport(sequence, Map.of("a", own), nowMs);
      if (otherScope != 0) {
        quotas.putRelay("n2", Set.of("n2"), otherScope, Map.of("a", other), nowMs);
      }
      quotas.putRelay("n1", Set.of("n1"), quotas.scope(nowMs), Map.of("a", own), nowMs);
      quotas.confirmReport(sequence, nowMs);
      shares = quotas.shares("n1", nowMs);
    }
    return shares;
  }

  private static long scopeOfBoth() {
    FleetQuotas both = new FleetQuotas("n1", BOUNDS);
    both.putRelay("n2", Set.of("n2"), 0, Map.of(), 0);
    return both.scope(0);
  }

  // Guards against shares of a group that exceed the equal parts of its members, which leave the
  // others theirs.
  @Test
  void aGroupDividesTheEqualPartsOfItsMembersByDemand() {
    TenantUse much = new TenantUse(3_000, 2_000);
    TenantUse little = new TenantUse(1_000, 500);
    double first = share(much, little, scopeOfBoth(), 8, 10_000).fraction("a", 13_600);
    FleetQuotas other = new FleetQuotas("n2", BOUNDS);
    other.setLimits(Map.of("a", LIMIT));
    other.setInstances(4);
    other.recordReport(1, Map.of("a", little), 0);
    other.putRelay("n1", Set.of("n1"), 9, Map.of("a", much), 0);
    other.putRelay("n2", Set.of("n2"), 9, Map.of("a", little), 0);
    other.confirmReport(1, 0);
    double second = other.shares("n2", 0).fraction("a", 0);
    assertThat(first).isGreaterThan(second);
    assertThat(first + second).isWithin(TOLERANCE).of(0.5);
  }

  // Guards against one side of a cut that uses the part of the other side.
  @Test
  void anInstanceAloneHasItsEqualPart() {
    TenantUse much = new TenantUse(5_000, 0);
    QuotaShares shares = share(much, TenantUse.NONE, 0, 8, 10_000);
    assertThat(shares.fraction("a", 13_600)).isWithin(TOLERANCE).of(0.25);
    assertThat(shares.fraction("b", 13_600)).isWithin(TOLERANCE).of(0.25);
  }

  // Guards against relays that hear this instance no more, but are still heard.
  @Test
  void aRelayThatHearsOthersIsNotInTheGroup() {
    TenantUse much = new TenantUse(5_000, 0);
    QuotaShares shares = share(much, TenantUse.NONE, 77, 8, 10_000);
    assertThat(shares.fraction("a", 13_600)).isAtMost(0.25 + TOLERANCE);
  }

  // Guards against a share that grows before the others have seen the demand for it.
  @Test
  void aShareGrowsLaterThanItShrinks() {
    TenantUse little = new TenantUse(100, 100);
    TenantUse much = new TenantUse(9_000, 100);
    double before = share(little, little, scopeOfBoth(), 8, 10_000).fraction("a", 13_500);
    double atOnce = share(much, little, scopeOfBoth(), 1, 14_000).fraction("a", 14_000);
    assertThat(atOnce).isAtMost(before);
    double later = share(much, little, scopeOfBoth(), 4, 14_500).fraction("a", 16_000);
    assertThat(later).isGreaterThan(before * 1.3);
    double shrunk = share(much, much, scopeOfBoth(), 1, 16_500).fraction("a", 16_500);
    assertThat(shrunk).isLessThan(later);
  }

  // Guards against a share that is used on without news, and after a pause of the process.
  @Test
  void withoutNewsOnlyTheEqualPartIsLeft() {
    TenantUse much = new TenantUse(9_000, 2_000);
    QuotaShares shares = share(much, TenantUse.NONE, scopeOfBoth(), 8, 10_000);
    assertThat(shares.fraction("a", 13_600)).isGreaterThan(0.3);
    long lateMs = 13_500 + FleetQuotas.RELAY_TIMEOUT_MS;
    assertThat(shares.fraction("a", lateMs)).isWithin(TOLERANCE).of(0.25);
    // Messages from before the pause seem to be new.
    quotas.putRelay("n2", Set.of("n2"), scopeOfBoth(), Map.of(), 60_000);
    quotas.confirmReport(sequence, 60_000);
    assertThat(quotas.shares("n1", 60_000).fraction("a", 60_000)).isAtMost(0.25 + TOLERANCE);
  }

  // Guards against use of instances that are lost, which is still in the window.
  @Test
  void theUseOfLostInstancesIsNotDividedAgain() {
    share(TenantUse.NONE, new TenantUse(9_000, 8_000), scopeOfBoth(), 8, 10_000);
    double alone =
        share(new TenantUse(9_000, 0), TenantUse.NONE, 0, 8, 14_000).fraction("a", 17_500);
    assertThat(alone).isAtMost(1_000.0 / 9_000 + TOLERANCE);
  }

  // Guards against shares before the number of instances is known.
  @Test
  void nothingIsUsedBeforeTheInstancesAreKnown() {
    quotas.setLimits(Map.of("a", LIMIT));
    assertThat(quotas.shares("n1", 0).fraction("a", 0)).isEqualTo(0);
  }
}
