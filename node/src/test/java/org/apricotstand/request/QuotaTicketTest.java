package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.observe.Metrics;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.Quota;
import org.apricotstand.tenant.QuotaUnit;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.tenant.TenantKeys;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaTicketTest {

  private static final Tenant TENANT =
      new Tenant("shop", OptionalInt.empty(), new Quota(QuotaUnit.REQUESTS, 0, 100, 100));

  private final LocalLoadTracker tracker = new LocalLoadTracker();
  private final Metrics metrics = new Metrics();
  private long nowMs = 1_000_000;
  private QuotaGate gate;
  private RoutingPlan plan;

  @BeforeEach
  void createGate() {
    QuotaShares shares = new QuotaShares(1, Map.of(), Set.of(), nowMs + 600_000, 0);
    gate =
        new QuotaGate(
            QuotaBounds.DEFAULT,
            () -> shares,
            tracker,
            RequestRouterFixture.NAMES,
            metrics,
            new Random(1),
            () -> nowMs);
    plan =
        new RoutingPlan(
            1,
            List.of(),
            List.of(),
            new CallerLimits(16_384, 65_536, 3_000, 15_000),
            Optional.of(TenantKeys.builder().add(TENANT, List.of("k1")).build()));
    gate.setPlan(plan);
    // The bucket of a new instance is empty at first.
    gate.tryTake(TENANT.name(), 1);
    nowMs += 60_000;
    tracker.takeAdmitted();
  }

  private QuotaTicket startedTicket() {
    QuotaTicket ticket =
        gate.ticket(new Admission(plan, Optional.of(TENANT)), new DefaultHttpHeaders());
    assertThat(ticket.tryStart()).isTrue();
    return ticket;
  }

  // Guards against a cost that counts in the window in which the request arrived, though the run
  // took place in a later one.
  @Test
  void theCostOfARunThatStartsLateIsTakenAgain() {
    QuotaTicket ticket = startedTicket();
    tracker.takeAdmitted();
    nowMs += 2_000;
    assertThat(ticket.tryTakeRun(0)).isTrue();
    assertThat(tracker.takeAdmitted()).containsExactly("shop", 1L);
    ticket.settle(1);
    assertThat(tracker.takeAdmitted()).isEmpty();
  }

  // Guards against a second cost that was not used and stands for the later run.
  @Test
  void anUnusedSecondCostDoesNotStandForALaterRun() {
    QuotaTicket ticket = startedTicket();
    nowMs += 700;
    assertThat(ticket.tryTakeRun(1)).isTrue();
    ticket.settle(1);
    nowMs += 2_000;
    tracker.takeAdmitted();
    assertThat(ticket.tryTakeRun(0)).isTrue();
    assertThat(tracker.takeAdmitted()).containsExactly("shop", 1L);
  }

  // Guards against reported use that sinks below what was used in the window, because a cost is
  // given back long after it was reported.
  @Test
  void anOldCostStaysInTheReportsWhenItIsGivenBack() {
    QuotaTicket ticket = startedTicket();
    assertThat(tracker.takeAdmitted()).containsExactly("shop", 1L);
    nowMs += 5_000;
    ticket.settle(0);
    assertThat(tracker.takeAdmitted()).isEmpty();
  }
}
