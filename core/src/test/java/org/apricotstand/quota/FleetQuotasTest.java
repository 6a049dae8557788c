package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Two instances that relay for themselves, of four that are registered. */
class FleetQuotasTest {

  private static final double TOLERANCE = 1e-6;
  private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000);
  private static final long START_MS = -60_000;
  private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0, 0);

  private final FleetQuotas quotas = new FleetQuotas("n1", BOUNDS, START_MS);
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
    FleetQuotas both = new FleetQuotas("n1", BOUNDS, START_MS);
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
    FleetQuotas other = new FleetQuotas("n2", BOUNDS, START_MS);
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

  /** Returns a relay of one of two domains after some exchanges of figures that stay the same. */
  private static FleetQuotas relay(
      String name, Map<String, Set<String>> members, Map<String, TenantUse> uses) {
    FleetQuotas relay = new FleetQuotas(name, BOUNDS, START_MS);
    relay.setLimits(Map.of("a", LIMIT));
    relay.setInstances(4);
    for (int step = 0; step < 8; step++) {
      long nowMs = step * 300L;
      relay.recordReport(step, Map.of("a", TenantUse.NONE), nowMs);
      members.forEach(
          (other, names) -> relay.putRelay(other, names, 9, Map.of("a", uses.get(other)), nowMs));
      relay.confirmReport(step, nowMs);
      relay.shares(name, nowMs);
    }
    return relay;
  }

  // Guards against a credit of relays that is divided a second time between the instances.
  @Test
  void sharesAndCreditsAddUpToTheLimit() {
    Map<String, Set<String>> members = Map.of("n1", Set.of("n1", "n2"), "n3", Set.of("n3", "n4"));
    Map<String, TenantUse> uses =
        Map.of("n1", new TenantUse(3_000, 0), "n3", new TenantUse(1_000, 0));
    FleetQuotas first = relay("n1", members, uses);
    FleetQuotas second = relay("n3", members, uses);
    long nowMs = 2_100;
    double credits = first.credit().fraction("a", nowMs) + second.credit().fraction("a", nowMs);
    assertThat(first.credit().fraction("a", nowMs))
        .isGreaterThan(second.credit().fraction("a", nowMs));
    // All demand is that of n2 and n4, who get what is divided by demand: half of all.
    double equalShares = 4 * first.shares("n1", nowMs).fraction("a", nowMs);
    assertThat(credits + 2 * equalShares).isWithin(TOLERANCE).of(1);
    double unlisted =
        first.credit().fraction("b", nowMs)
            + second.credit().fraction("b", nowMs)
            + 4 * first.shares("n1", nowMs).fraction("b", nowMs);
    assertThat(unlisted).isWithin(TOLERANCE).of(1);
  }

  // Guards against credit of an instance that relays for itself alone, as all do in small fleets.
  @Test
  void aRelayOfItselfAloneLendsNothing() {
    share(new TenantUse(3_000, 0), new TenantUse(1_000, 0), scopeOfBoth(), 8, 10_000);
    assertThat(quotas.credit().fraction("a", 13_500)).isEqualTo(0);
    assertThat(quotas.shares("n1", 13_500).mayBorrow(13_500)).isFalse();
  }

  // Guards against a new relay that lends at once what the former one has lent.
  @Test
  void aNewRelayLendsNothingAtFirst() {
    Map<String, Set<String>> members = Map.of("n1", Set.of("n1", "n2"));
    FleetQuotas relay = new FleetQuotas("n1", BOUNDS, START_MS);
    relay.setLimits(Map.of("a", LIMIT));
    relay.setInstances(4);
    for (long nowMs = 0; nowMs <= 1_200; nowMs += 300) {
      relay.recordReport(nowMs, Map.of(), nowMs);
      relay.putRelay("n1", members.get("n1"), 9, Map.of(), nowMs);
      relay.confirmReport(nowMs, nowMs);
      relay.shares("n1", nowMs);
      double credit = relay.credit().fraction("a", nowMs);
      if (nowMs < FleetQuotas.SETTLING_MS) {
        assertThat(credit).isEqualTo(0);
      } else {
        assertThat(credit).isGreaterThan(0);
      }
    }
  }
}
