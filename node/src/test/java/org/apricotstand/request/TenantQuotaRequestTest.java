package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;
import org.apricotstand.route.WeightedService;
import org.apricotstand.tenant.Quota;
import org.apricotstand.tenant.QuotaUnit;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.tenant.TenantKeys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TenantQuotaRequestTest extends RequestRouterFixture {

  private static final String AUTHORIZATION = "Authorization: Bearer k1\r\n";
  private static final long USUAL_MS = 20;

  TenantQuotaRequestTest() {
    maxHedgeShare = 1;
  }

  private void serve(Quota quota, RequestKind kind, int maxAttempts, TargetEntry... entries)
      throws IOException {
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            kind,
            5_000,
            500,
            2_000,
            maxAttempts,
            0,
            false,
            List.of(new WeightedService("s", 1)));
    Tenant tenant = new Tenant("hule930", OptionalInt.empty(), quota);
    RoutingPlan plan =
        new RoutingPlan(
            1,
            List.of(route),
            List.of(new ServiceSpec("s", 100, Optional.empty())),
            new CallerLimits(16_384, 65_536, 3_000, 15_000),
            Optional.of(TenantKeys.builder().add(tenant, List.of("k1")).build()));
    view =
        new FleetView(
            plan,
            confirmedMs,
            Map.of("s", List.of(entries)),
            Map.of(),
            Set.of(),
            Map.of(),
            Map.of(),
            Set.of("n"),
            1,
            false,
            Map.of());
    quotaShares = new QuotaShares(1, Map.of(), Set.of(), ControlThread.nowMs() + 600_000, 0);
  }

  private static Quota tokens(double ratePerS, double burst) {
    return new Quota(QuotaUnit.TOKENS, 200, ratePerS, burst);
  }

  /** Sends requests until one is refused and returns how many were served. */
  private int countServed(String headers) throws IOException {
    for (int served = 0; served < 100; served++) {
      String answer = call(AUTHORIZATION + headers);
      if (answer.startsWith("HTTP/1.1 429 ")) {
        assertThat(answer.toLowerCase()).contains("retry-after: ");
        return served;
      }
      assertThat(answer).endsWith("done");
    }
    return 100;
  }

  private long admittedCost() {
    return loadTracker.takeAdmitted().getOrDefault("hule930", 0L);
  }

  // Guards against costs that follow something else than the header, and against a malformed
  // header that makes a request free or ends it.
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'X-Token-Count: 300,200'|500",
        "'X-Token-Count: 300, 200'|500",
        "'X-Token-Count: 300 200'|500",
        "'X-Other: 1'|200",
        "'X-Token-Count: 300'|200",
        "'X-Token-Count: -300,200'|200",
        "'X-Token-Count: 9999999999,1'|200",
        "'X-Token-Count: 1,2,3'|200",
        "'X-Token-Count: a,b'|200"
      })
  void aRequestCostsTheTokensThatItDeclares(String header, long cost) throws IOException {
    serve(tokens(1e6, 1e6), RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    // The bucket of a new instance is empty at first.
    call(AUTHORIZATION);
    await(() -> call(AUTHORIZATION + header + "\r\n").endsWith("done"));
    loadTracker.takeAdmitted();
    assertThat(call(AUTHORIZATION + header + "\r\n")).endsWith("done");
    assertThat(admittedCost()).isEqualTo(cost);
  }

  // Guards against a quota that refuses nothing, or refuses without a time to retry after.
  @Test
  void requestsBeyondTheQuotaAreRefusedWithATime() throws Exception {
    serve(tokens(100, 1_000), RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    await(() -> call(AUTHORIZATION + "X-Token-Count: 1,1\r\n").endsWith("done"));
    int served = countServed("X-Token-Count: 100,100\r\n");
    assertWithMessage("served of a limit of 1800 in 8 s, 200 each").that(served).isAtMost(10);
    assertThat(countHeads()).isAtMost(served + 1);
  }

  // Guards against counting tokens for tenants whose unit is requests.
  @Test
  void requestsCountAsOneByUnit() throws IOException {
    Quota quota = new Quota(QuotaUnit.REQUESTS, 0, 1_000, 1_000);
    serve(quota, RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    await(() -> call(AUTHORIZATION + "X-Token-Count: 700,300\r\n").endsWith("done"));
    assertThat(admittedCost()).isEqualTo(1);
  }

  // Guards against requests that no target ran and that use up the quota all the same.
  @Test
  void aRequestThatNoTargetRunsGivesItsCostBack() throws IOException {
    serve(tokens(1e6, 1e6), RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    await(() -> call(AUTHORIZATION).endsWith("done"));
    loadTracker.takeAdmitted();
    TargetEntry closed = new TargetEntry("t2", "s", "127.0.0.1", 1, "d", 8, false, 1, Map.of());
    serve(tokens(1e6, 1e6), RequestKind.NON_IDEMPOTENT, 1, closed);
    assertThat(call(AUTHORIZATION)).startsWith("HTTP/1.1 503 ");
    assertThat(admittedCost()).isEqualTo(0);
  }

  // Guards against retries that run at two targets and count once, and against retries that count
  // twice although the first target did not run the request.
  @Test
  void aRetryCountsAgainOnlyIfTheRequestMayHaveRun() throws IOException {
    ScriptedTarget.Script closes = (id, number, out) -> false;
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, target("t1", ANSWERS_DONE));
    await(() -> call(AUTHORIZATION).endsWith("done"));
    loadTracker.takeAdmitted();
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, target("t2", closes), target("t3", closes));
    call(AUTHORIZATION);
    assertThat(admittedCost()).isEqualTo(400);
    TargetEntry closed = new TargetEntry("t4", "s", "127.0.0.1", 1, "d", 8, false, 1, Map.of());
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, closed, target("t5", ANSWERS_DONE));
    assertThat(call(AUTHORIZATION)).endsWith("done");
    assertThat(admittedCost()).isEqualTo(200);
  }

  // Guards against hedges that run beside the first attempt and count nothing, and against hedges
  // that count although no target ran them.
  @Test
  void aHedgeCountsAgainOnlyIfTheRequestMayHaveRun() throws Exception {
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, target("t0", ANSWERS_DONE));
    await(() -> call(AUTHORIZATION).endsWith("done"));
    loadTracker.takeAdmitted();
    ScriptedTarget.Script late =
        (id, number, out) -> {
          sleepForHedge();
          ScriptedTarget.write(out, ScriptedTarget.ok("q1", "late"));
          return true;
        };
    learnUsualTime("t1");
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, target("t1", late), target("t2", late));
    assertThat(call(AUTHORIZATION)).endsWith("late");
    assertThat(router.metrics().counter("request.hedge.sent").getCount()).isEqualTo(1);
    assertThat(admittedCost()).isEqualTo(400);
    TargetEntry closed = new TargetEntry("t4", "s", "127.0.0.1", 1, "d", 8, false, 1, Map.of());
    learnUsualTime("t3");
    serve(tokens(1e6, 1e6), RequestKind.IDEMPOTENT, 3, target("t3", late), closed);
    assertThat(call(AUTHORIZATION)).endsWith("late");
    assertThat(admittedCost()).isEqualTo(200);
  }

  private void learnUsualTime(String target) throws Exception {
    Runnable learn =
        () -> {
          for (int i = 0; i < 100; i++) {
            router.hedging().orElseThrow().delays().recordFirstByte("r", target, USUAL_MS);
          }
        };
    group.submit(learn).get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static void sleepForHedge() throws IOException {
    try {
      Thread.sleep(20 * USUAL_MS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  // Guards against limits that hold for tenants without one.
  @Test
  void aTenantWithoutALimitIsNotCounted() throws IOException {
    serve(Quota.UNLIMITED, RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    quotaShares = QuotaShares.NONE;
    assertThat(call(AUTHORIZATION)).endsWith("done");
    assertThat(loadTracker.takeOffered()).isEmpty();
  }

  /** Serves a limit of which this instance has nothing, while its relay lends. */
  private void serveOnCredit() throws IOException {
    serve(tokens(1, 1), RequestKind.NON_IDEMPOTENT, 1, target("t1", ANSWERS_DONE));
    quotaShares =
        new QuotaShares(1, 0, Map.of(), Set.of(), ControlThread.nowMs() + 600_000, 0, true);
  }

  private void answerLoan(long number, boolean isLent) {
    group.next().execute(() -> router.onQuotaLent(number, isLent));
  }

  // Guards against requests that wait for credit and are not answered, or counted wrongly.
  @Test
  void aRequestRunsOnCreditOfTheRelay() throws Exception {
    serveOnCredit();
    loanAnswer =
        number -> {
          answerLoan(number, true);
          answerLoan(number, true);
        };
    assertThat(call(AUTHORIZATION)).endsWith("done");
    assertThat(fleetCalls).containsExactly("quota 1 hule930 200");
    assertThat(loadTracker.settledLoans()).isEqualTo(1);
    assertThat(admittedCost()).isEqualTo(200);
    assertThat(countHeads()).isEqualTo(1);
  }

  // Guards against refusals of the relay that hold a request, and that are asked for again at once.
  @Test
  void aRequestThatTheRelayRefusesGetsATime() throws Exception {
    serveOnCredit();
    loanAnswer = number -> answerLoan(number, false);
    String refused = call(AUTHORIZATION);
    assertThat(refused).startsWith("HTTP/1.1 429 ");
    assertThat(refused.toLowerCase()).contains("retry-after: ");
    assertThat(loadTracker.settledLoans()).isEqualTo(1);
    assertThat(admittedCost()).isEqualTo(0);
    assertThat(countHeads()).isEqualTo(0);
  }

  // Guards against requests that wait on for a relay that is lost.
  @Test
  void aRequestWithoutAnswerOfTheRelayIsRefusedInTime() throws Exception {
    serveOnCredit();
    assertThat(call(AUTHORIZATION)).startsWith("HTTP/1.1 429 ");
    assertThat(loadTracker.settledLoans()).isEqualTo(1);
    // A question without answer is not repeated at once.
    assertThat(call(AUTHORIZATION)).startsWith("HTTP/1.1 429 ");
    answerLoan(1, true);
    assertThat(fleetCalls).hasSize(1);
    assertThat(admittedCost()).isEqualTo(0);
    assertThat(countHeads()).isEqualTo(0);
  }

  // Guards against a loan that stays open, or runs a request, after its caller has gone.
  @Test
  void aCallerThatDisconnectsLeavesTheLoanToTheRelay() throws Exception {
    serveOnCredit();
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      String request =
          "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\n"
              + AUTHORIZATION
              + "Content-Length: 2\r\n\r\nhi";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      awaitFleetCall();
    }
    await(() -> loadTracker.settledLoans() == 1);
    answerLoan(1, true);
    assertThat(admittedCost()).isEqualTo(0);
    assertThat(countHeads()).isEqualTo(0);
  }

  // Guards against requests that wait for credit while the process ends, and get no answer or two.
  @Test
  void aRequestThatWaitsForCreditIsAnsweredWhenTheProcessEnds() throws Exception {
    serveOnCredit();
    loanAnswer =
        number -> {
          group.next().execute(router::endRequests);
          answerLoan(number, true);
        };
    assertThat(call(AUTHORIZATION)).startsWith("HTTP/1.1 503 ");
    // Settled after the answer was sent.
    await(() -> loadTracker.settledLoans() == 1);
    assertThat(admittedCost()).isEqualTo(0);
  }

  // Guards against a limit that is removed during the wait and leaves the request without answer.
  @Test
  void aRequestIsServedAlthoughItsLimitIsRemovedDuringTheWait() throws Exception {
    serve(Quota.UNLIMITED, RequestKind.NON_IDEMPOTENT, 1, target("t2", ANSWERS_DONE));
    FleetView unlimited = view;
    serveOnCredit();
    loanAnswer =
        number -> {
          view = unlimited;
          answerLoan(number, true);
        };
    assertThat(call(AUTHORIZATION)).endsWith("done");
    assertThat(loadTracker.settledLoans()).isEqualTo(1);
    assertThat(call(AUTHORIZATION)).endsWith("done");
  }

  private interface Condition {
    boolean holds() throws IOException;
  }

  private static void await(Condition condition) throws IOException {
    long endMs = ControlThread.nowMs() + TEST_TIMEOUT_MS;
    while (!condition.holds()) {
      assertWithMessage("condition in time").that(ControlThread.nowMs()).isLessThan(endMs);
    }
  }
}
