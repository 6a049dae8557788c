package org.apricotstand.hedge;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.dispatch.Availability;
import org.apricotstand.dispatch.Candidate;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.hedge.HedgeDecision.Reason;
import org.apricotstand.hedge.HedgeDecision.Refused;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.WeightedService;
import org.junit.jupiter.api.Test;

class HedgePolicyTest {

  private static final Route IDEMPOTENT = route(RequestKind.IDEMPOTENT, 3, false);

  private final HedgeAllowance allowance = new HedgeAllowance(1);
  private int reservedRetries;

  HedgePolicyTest() {
    allowance.recordRequest();
  }

  private static Route route(RequestKind kind, int maxAttempts, boolean resumable) {
    return new Route(
        "r",
        "h",
        "/",
        kind,
        10_000,
        1_000,
        5_000,
        maxAttempts,
        0,
        resumable,
        List.of(new WeightedService("s", 1)));
  }

  private static TargetEntry target(String id, boolean leaving) {
    return new TargetEntry(id, "s", "10.0.0.1", 80, "d", 4, leaving, 0, Map.of());
  }

  private static Candidate candidate(String id, int running, Availability availability) {
    return new Candidate(
        target(id, false), new TargetLoad(running, 0), availability, true, 0, 0, 0);
  }

  private static Candidate resident(String id) {
    return candidate(id, 1, Availability.RESIDENT);
  }

  private static HedgeSituation situation(Route route, List<Candidate> candidates) {
    return new HedgeSituation(route, 0, false, false, false, "t1", Set.of(), null, "d", candidates);
  }

  private HedgeDecision decide(HedgeSituation situation) {
    return HedgePolicy.decide(situation, allowance, this::reserveRetry);
  }

  private HedgeDecision decide(Candidate... candidates) {
    return decide(situation(IDEMPOTENT, List.of(candidates)));
  }

  private HedgeDecision decide(Route route) {
    return decide(situation(route, List.of(resident("t1"), resident("t2"))));
  }

  private boolean reserveRetry() {
    reservedRetries++;
    return true;
  }

  /** Checks the reason, and that a refusal takes neither a retry nor an allowed hedge. */
  private void assertRefused(HedgeDecision decision, Reason reason) {
    assertThat(decision).isEqualTo(new Refused(reason));
    assertThat(reservedRetries).isEqualTo(0);
    assertThat(allowance.allowsHedge()).isTrue();
  }

  // Guards against a second attempt at the target that is slow.
  @Test
  void sendsTheHedgeToAnotherTargetAndCountsIt() {
    HedgeDecision decision = decide(resident("t1"), resident("t2"));
    assertThat(decision).isEqualTo(new HedgeDecision.Send(resident("t2")));
    assertThat(reservedRetries).isEqualTo(1);
    assertThat(allowance.allowsHedge()).isFalse();
  }

  // Guards against work that is done twice although the route forbids it.
  @Test
  void neverHedgesNonIdempotentRequests() {
    Route route = route(RequestKind.NON_IDEMPOTENT, 9, true);
    assertRefused(decide(route), Reason.NOT_REPEATABLE);
    assertThat(HedgePolicy.canHedge(route)).isFalse();
  }

  @Test
  void hedgesOnlyStreamsThatMayBeResumed() {
    assertRefused(decide(route(RequestKind.STREAM, 3, false)), Reason.NOT_REPEATABLE);
    assertThat(decide(route(RequestKind.STREAM, 3, true))).isInstanceOf(HedgeDecision.Send.class);
  }

  // Guards against more attempts than the route allows, the one in flight included.
  @Test
  void respectsTheMaximumNumberOfAttempts() {
    assertRefused(decide(route(RequestKind.IDEMPOTENT, 1, false)), Reason.NOT_REPEATABLE);
    HedgeSituation afterOneRun =
        new HedgeSituation(
            route(RequestKind.IDEMPOTENT, 2, false),
            1,
            false,
            false,
            false,
            "t1",
            Set.of(),
            null,
            "d",
            List.of(resident("t2")));
    assertRefused(decide(afterOneRun), Reason.NOT_REPEATABLE);
  }

  private static HedgeSituation withFlags(
      boolean answerBegun, boolean suspected, boolean serviceHasWaiting) {
    return new HedgeSituation(
        IDEMPOTENT,
        0,
        answerBegun,
        suspected,
        serviceHasWaiting,
        "t1",
        Set.of(),
        null,
        "d",
        List.of(resident("t1"), resident("t2")));
  }

  // Guards against a stream that is run a second time although its caller has a part of it.
  @Test
  void neverHedgesAnAnswerThatHasBegun() {
    assertRefused(decide(withFlags(true, false, false)), Reason.ANSWER_BEGUN);
  }

  // Guards against a request that crashes two targets at once.
  @Test
  void neverHedgesASuspectedRequest() {
    assertRefused(decide(withFlags(false, true, false)), Reason.SUSPECTED);
  }

  // Guards against hedges that take the targets for which other requests wait.
  @Test
  void neverHedgesWhileRequestsWait() {
    assertRefused(decide(withFlags(false, false, true)), Reason.SHORT_OF_CAPACITY);
  }

  // Guards against hedges in an overload, in which the first targets fill up.
  @Test
  void neverHedgesWhileAnotherTargetIsFull() {
    assertRefused(
        decide(resident("t1"), resident("t2"), candidate("t3", 4, Availability.RESIDENT)),
        Reason.SHORT_OF_CAPACITY);
  }

  // Guards against a slow target that gets no hedge because its late requests fill it.
  @Test
  void hedgesWhileOnlyTheFirstTargetIsFull() {
    HedgeDecision decision = decide(candidate("t1", 4, Availability.RESIDENT), resident("t2"));
    assertThat(decision).isInstanceOf(HedgeDecision.Send.class);
  }

  // Guards against adapter loads for the sake of a hedge.
  @Test
  void neverCausesALoad() {
    List<Candidate> candidates =
        List.of(
            resident("t1"),
            candidate("t2", 0, Availability.WARM),
            candidate("t3", 0, Availability.LOADING),
            candidate("t4", 0, Availability.COLD));
    HedgeSituation situation =
        new HedgeSituation(
            IDEMPOTENT, 0, false, false, false, "t1", Set.of(), "m/a1", "d", candidates);
    assertRefused(decide(situation), Reason.NO_TARGET);
  }

  @Test
  void skipsTargetsThatLeaveLimitRequestsOrAreExcluded() {
    Candidate leaving =
        new Candidate(target("t2", true), TargetLoad.NONE, Availability.RESIDENT, true, 0, 0, 0);
    Candidate limited =
        new Candidate(target("t3", false), TargetLoad.NONE, Availability.RESIDENT, true, 0, 0, 50);
    HedgeSituation situation =
        new HedgeSituation(
            IDEMPOTENT,
            0,
            false,
            false,
            false,
            "t1",
            Set.of("t4"),
            null,
            "d",
            List.of(resident("t1"), leaving, limited, resident("t4")));
    assertRefused(decide(situation), Reason.NO_TARGET);
  }

  // Guards against hedges beyond the limit of the operator, and a retry that is reserved for none.
  @Test
  void refusesBeyondTheLimitOnExtraWork() {
    HedgeAllowance none = new HedgeAllowance(0);
    none.recordRequest();
    HedgeSituation situation = situation(IDEMPOTENT, List.of(resident("t2")));
    HedgeDecision decision = HedgePolicy.decide(situation, none, this::reserveRetry);
    assertThat(decision).isEqualTo(new Refused(Reason.LIMIT));
    assertThat(reservedRetries).isEqualTo(0);
  }

  // Guards against hedges that use up more retries than the service may have.
  @Test
  void refusesBeyondTheRetryBudget() {
    HedgeSituation situation = situation(IDEMPOTENT, List.of(resident("t2")));
    HedgeDecision decision = HedgePolicy.decide(situation, allowance, () -> false);
    assertRefused(decision, Reason.RETRY_BUDGET);
  }
}
