package org.apricotstand.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.PlacementPolicy;
import org.junit.jupiter.api.Test;

class TargetSchedulerTest {

  private static final AdapterVersion A = new AdapterVersion("a", "v1");
  private static final AdapterVersion B = new AdapterVersion("b", "v1");
  private static final Failure FAILURE = new Failure(Step.LOAD, "engine-1", "failed", "test");

  private final UnlimitedLoadLimiter loadLimiter = new UnlimitedLoadLimiter();
  private final TargetScheduler scheduler =
      new TargetScheduler(
          new TargetId("engine-1"),
          new PlacementPolicy.Affinity(),
          loadLimiter,
          new SplittableRandom(1));

  /** Guards against eviction of an adapter that a running request uses. */
  @Test
  void doesNotUnloadAnAdapterInUse() {
    report(1, 1, A);
    ScheduledRequest first = request("r1", A);
    assertThat(submit(first, 1)).containsExactly(new SchedulerAction.Dispatch(first));
    assertThat(submit(request("r2", B), 2)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.RequestFinished(first.id()), 3))
        .containsExactly(new SchedulerAction.Unload(A, 2));
  }

  /** Guards against eviction of an adapter that the former owner may still use. */
  @Test
  void keepsQuarantinedSlotsUntilTheQuarantineEnds() {
    scheduler.handle(new SchedulerEvent.QuarantineStarted(), 0);
    report(1, 1, A);
    assertThat(submit(request("r1", B), 1)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.Tick(), 5_000)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.QuarantineEnded(), 5_001))
        .containsExactly(new SchedulerAction.Unload(A, 2));
  }

  /** Guards against eviction of an adapter that is declared as pinned. */
  @Test
  void keepsPinnedAdapters() {
    scheduler.handle(new SchedulerEvent.DeclarationsChanged(Set.of("a"), 1), 0);
    report(1, 1, A);
    assertThat(submit(request("r1", B), 1)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.Tick(), 5_000)).isEmpty();
  }

  /** Guards against a late load result that adds a slot after a restart of the engine. */
  @Test
  void ignoresLoadResultsOfAnEarlierIncarnation() {
    report(1, 2);
    submit(request("r1", A), 1);
    assertThat(report(2, 2)).contains(new SchedulerAction.Load(A, 2));
    assertThat(scheduler.handle(new SchedulerEvent.LoadFinished(A, 1), 3)).isEmpty();
    assertThat(scheduler.resident()).isEmpty();
    assertThat(loadLimiter.inFlight()).isEqualTo(1);
  }

  /** Guards against requests that stay in the batch when the engine restarts. */
  @Test
  void abandonsRunningRequestsWhenTheEngineRestarts() {
    report(1, 1, A);
    ScheduledRequest request = request("r1", A);
    submit(request, 1);
    assertThat(report(2, 1).getFirst()).isInstanceOf(SchedulerAction.Abandon.class);
    assertThat(scheduler.running()).isEqualTo(0);
  }

  /** Guards against the loss of a request that the engine refused without running it. */
  @Test
  void requeuesARequestWhoseAdapterWasNotLoaded() {
    report(1, 1, A);
    ScheduledRequest request = request("r1", A);
    submit(request, 1);
    assertThat(scheduler.handle(new SchedulerEvent.AdapterNotLoaded(request.id()), 2))
        .containsExactly(new SchedulerAction.Load(A, 2));
    assertThat(scheduler.handle(new SchedulerEvent.LoadFinished(A, 2), 3))
        .containsExactly(new SchedulerAction.Dispatch(request));
  }

  /** Guards against another run of a request whose caller left before the refusal arrived. */
  @Test
  void doesNotRequeueACanceledRequest() {
    report(1, 1, A);
    ScheduledRequest request = request("r1", A);
    submit(request, 1);
    scheduler.handle(new SchedulerEvent.RequestCanceled(request.id()), 2);
    assertThat(scheduler.handle(new SchedulerEvent.AdapterNotLoaded(request.id()), 3)).isEmpty();
    assertThat(scheduler.requestCount()).isEqualTo(0);
  }

  /** Guards against a failed load that blocks other groups or refuses requests with time left. */
  @Test
  void backsOffPerAdapter() {
    report(1, 1);
    submit(request("r1", A), 1);
    List<SchedulerAction> afterFailure =
        scheduler.handle(new SchedulerEvent.LoadFailed(A, 1, FAILURE), 2);
    assertThat(afterFailure).isEmpty();
    assertThat(submit(request("r2", B), 3)).containsExactly(new SchedulerAction.Load(B, 2));
    scheduler.handle(new SchedulerEvent.LoadFailed(B, 2, FAILURE), 4);
    assertThat(scheduler.handle(new SchedulerEvent.Tick(), 300)).hasSize(1);
  }

  /** Guards against other requests in the batch of a request that may crash the engine. */
  @Test
  void runsASuspectAlone() {
    report(1, 1, A);
    ScheduledRequest first = request("r1", A);
    ScheduledRequest suspect =
        new ScheduledRequest(
            new RequestId("r2"), 1, A, RequestClass.STANDARD, "test", 0, 10_000, true);
    ScheduledRequest last = request("r3", A);
    submit(first, 1);
    assertThat(submit(suspect, 2)).isEmpty();
    assertThat(submit(last, 3)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.RequestFinished(first.id()), 4))
        .containsExactly(new SchedulerAction.Dispatch(suspect));
    assertThat(scheduler.handle(new SchedulerEvent.RequestFinished(suspect.id()), 5))
        .containsExactly(new SchedulerAction.Dispatch(last));
  }

  /** Guards against a caller that fills the queue so that requests of others are dropped. */
  @Test
  void dropsFromTheCallerWithTheLargestShare() {
    List<String> dropped = new ArrayList<>();
    submit(request("small-1", B), 1);
    for (int i = 0; i < TargetScheduler.MAX_WAITING; i++) {
      ScheduledRequest request =
          new ScheduledRequest(
              new RequestId("large-" + i), 1, A, RequestClass.STANDARD, "large", 0, 10_000);
      submit(request, 2).stream()
          .filter(SchedulerAction.Refuse.class::isInstance)
          .forEach(action -> dropped.add(((SchedulerAction.Refuse) action).request().caller()));
    }
    assertThat(dropped).containsExactly("large");
  }

  /** Guards against requests that wait although their deadline can't be met. */
  @Test
  void refusesARequestThatCannotMeetItsDeadline() {
    report(1, 1);
    submit(request("r1", A), 0);
    scheduler.handle(new SchedulerEvent.LoadFinished(A, 1), 500);
    ScheduledRequest late =
        new ScheduledRequest(new RequestId("r2"), 1, B, RequestClass.STANDARD, "test", 500, 900);
    assertThat(submit(late, 500).getFirst()).isInstanceOf(SchedulerAction.Refuse.class);
  }

  /** Guards against single dispatches although the declarations ask for full batches. */
  @Test
  void holdsRequestsBackUntilTheBatchIsFilled() {
    scheduler.handle(new SchedulerEvent.DeclarationsChanged(Set.of(), 0), 0);
    report(1, 1, A);
    assertThat(submit(request("r1", A), 1)).isEmpty();
    assertThat(submit(request("r2", A), 2)).isEmpty();
    assertThat(submit(request("r3", A), 3)).isEmpty();
    assertThat(submit(request("r4", A), 4)).hasSize(4);
  }

  /** Guards against requests that are held back for so long that they miss their deadline. */
  @Test
  void dispatchesHeldRequestsBeforeTheDeadline() {
    scheduler.handle(new SchedulerEvent.DeclarationsChanged(Set.of(), 0), 0);
    report(1, 1, A);
    submit(request("r1", A), 1);
    assertThat(scheduler.handle(new SchedulerEvent.Tick(), 4_999)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.Tick(), 5_000)).hasSize(1);
  }

  /** Guards against loads and evictions while the lease of the owner may have expired. */
  @Test
  void startsNoLoadsWhileCommandsAreNotAllowed() {
    report(1, 2, A);
    scheduler.handle(new SchedulerEvent.CommandsAllowed(false), 1);
    assertThat(submit(request("r1", B), 2)).isEmpty();
    assertThat(submit(request("r2", A), 3)).hasSize(1);
    assertThat(scheduler.handle(new SchedulerEvent.CommandsAllowed(true), 4))
        .containsExactly(new SchedulerAction.Load(B, 2));
  }

  /** Guards against requests that wait at an instance that no longer owns the engine. */
  @Test
  void refusesWaitingRequestsWhenOwnershipIsLost() {
    submit(request("r1", A), 1);
    assertThat(scheduler.handle(new SchedulerEvent.OwnershipLost(FAILURE), 2))
        .containsExactly(new SchedulerAction.Refuse(request("r1", A), FAILURE));
  }

  /** Guards against a late state report that reactivates a scheduler after its ownership ended. */
  @Test
  void ignoresReportsAfterOwnershipIsLost() {
    report(1, 1, A);
    ScheduledRequest request = request("r1", A);
    submit(request, 1);
    scheduler.handle(new SchedulerEvent.OwnershipLost(FAILURE), 2);
    assertThat(report(1, 1, A)).isEmpty();
    assertThat(scheduler.handle(new SchedulerEvent.AdapterNotLoaded(request.id()), 3))
        .containsExactly(new SchedulerAction.Refuse(request, FAILURE));
    assertThat(submit(request("r2", A), 4))
        .containsExactly(new SchedulerAction.Refuse(request("r2", A), FAILURE));
  }

  private List<SchedulerAction> report(long incarnation, int slots, AdapterVersion... resident) {
    return scheduler.handle(
        new SchedulerEvent.EngineReported(incarnation, Set.of(resident), slots, 4), 0);
  }

  private List<SchedulerAction> submit(ScheduledRequest request, long nowMs) {
    return scheduler.handle(new SchedulerEvent.RequestSubmitted(request), nowMs);
  }

  private static ScheduledRequest request(String id, AdapterVersion adapterVersion) {
    return new ScheduledRequest(
        new RequestId(id), 1, adapterVersion, RequestClass.STANDARD, "test", 0, 10_000);
  }
}
