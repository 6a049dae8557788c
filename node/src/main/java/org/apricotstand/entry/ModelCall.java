package org.apricotstand.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.limit.Backoff;
import org.apricotstand.limit.RetryBudget;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.Ownership;
import org.apricotstand.owner.TracedSink;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.suspects.SuspectCodes;

/**
 * One admitted model request. Sends it to the owner of a target. If that attempt fails before the
 * caller got a byte, sends it at most once more, to another target. Attempts that no owner accepted
 * don't count. Confined to the control thread.
 */
final class ModelCall {

  private static final int MAX_ATTEMPTS = 2;
  private static final String NO_OWNER = "no_owner";

  /** Failure codes of requests that were refused because the receiver does not own the target. */
  private static final Set<String> NO_OWNER_CODES =
      Set.of("not_owner", "lease_expired", NO_OWNER, "unknown_peer");

  /**
   * Maximum time for which a request that no owner accepts is routed again. Long enough for a
   * handover and the start of an instance; a takeover lasts longer than callers wait.
   */
  private static final long MAX_REROUTE_MS = 3_000;

  private static final long REROUTE_PAUSE_MS = 100;

  /**
   * Components that all model requests of an instance share.
   *
   * @param isLeaving whether a target is leaving and receives no new requests
   * @param localOwner runs requests on the engines that this instance owns
   * @param remoteOwners sends requests to the instances that own the other engines
   */
  record Dependencies(
      InstanceId self,
      ControlThread control,
      Ownership ownership,
      Predicate<TargetId> isLeaving,
      OwnerService localOwner,
      RemoteOwnerClient remoteOwners,
      EngineChooser engineChooser,
      RetryBudget retryBudget,
      Backoff backoff,
      Metrics metrics,
      Tracing tracing) {}

  private final Dependencies dependencies;
  private final HttpExchange exchange;
  private final Revision revision;
  private final String model;
  private final Tracing.Hop hop;
  private final EngineRequest firstRequest;
  private final TracedSink sink;
  private final Runnable release;
  private final Optional<TargetId> requiredTarget;
  private final Set<TargetId> triedTargets = new HashSet<>();
  private final long rerouteDeadlineMs = ControlThread.nowMs() + MAX_REROUTE_MS;
  private volatile boolean callerDisconnected;

  /**
   * Creates a call.
   *
   * @param model base model that the engine must serve
   * @param requiredTarget target that must run the request; empty if the placement chooses one
   * @param firstRequest request of the first attempt
   * @param release runs when the call has ended; may run more than once
   */
  ModelCall(
      Dependencies dependencies,
      HttpExchange exchange,
      Revision revision,
      String model,
      Optional<TargetId> requiredTarget,
      EngineRequest firstRequest,
      Runnable release) {
    this.dependencies = dependencies;
    this.exchange = exchange;
    this.revision = revision;
    this.model = model;
    this.requiredTarget = requiredTarget;
    this.hop =
        dependencies
            .tracing()
            .start(
                "entry",
                firstRequest.traceparent(),
                "request",
                firstRequest.scheduled().id(),
                "adapter",
                firstRequest.scheduled().adapterVersion());
    this.firstRequest = firstRequest.withTraceparent(hop.traceparent());
    this.sink = new TracedSink(new ExchangeSink(exchange), hop);
    this.release = release;
  }

  /** Starts the first attempt. */
  void start() {
    dependencies.retryBudget().setRatio(revision.declarations().policy().retryBudgetRatio());
    dependencies.retryBudget().recordFirstAttempt();
    attempt(firstRequest);
  }

  /** Returns a usable target, or an empty result if there is none. */
  private Optional<TargetId> chooseTarget() {
    if (requiredTarget.isPresent()) {
      return requiredTarget.filter(this::isUsable);
    }
    return dependencies
        .engineChooser()
        .choose(firstRequest.scheduled().adapterVersion(), model, revision, this::isUsable);
  }

  /** Returns whether a target was not tried before, is not leaving and has a known owner. */
  private boolean isUsable(TargetId target) {
    return !triedTargets.contains(target)
        && !dependencies.isLeaving().test(target)
        && dependencies.ownership().ownerOf(target).isPresent();
  }

  private void attempt(EngineRequest request) {
    if (callerDisconnected) {
      return;
    }
    Optional<TargetId> target = chooseTarget();
    if (target.isEmpty()) {
      handleFailure(
          request,
          new Outcome.NotRun(
              new Failure(
                  Step.PLACEMENT,
                  dependencies.self().value(),
                  NO_OWNER,
                  "no engine can be reached")));
    } else {
      send(target.get(), request);
    }
  }

  private void send(TargetId target, EngineRequest request) {
    triedTargets.add(target);
    InstanceId owner = dependencies.ownership().ownerOf(target).orElseThrow();
    AttemptSink attemptSink =
        new AttemptSink(
            sink,
            release,
            outcome ->
                dependencies.control().execute(() -> onAttemptFailed(target, request, outcome)));
    CompletionNotifyingSink trackingSink =
        dependencies.engineChooser().trackRequest(target, attemptSink);
    if (owner.equals(dependencies.self())) {
      setDisconnectListener(
          trackingSink,
          () ->
              dependencies
                  .control()
                  .execute(
                      () -> dependencies.localOwner().cancel(target, request.scheduled().id())));
      dependencies.localOwner().submit(target, request, trackingSink);
      dependencies.engineChooser().recordEngineState(dependencies.localOwner().loadOf(target));
    } else {
      PeerMessage.Route route = toRoute(target, request);
      setDisconnectListener(trackingSink, () -> dependencies.remoteOwners().cancel(route));
      dependencies.remoteOwners().send(owner, route, trackingSink);
    }
  }

  private void setDisconnectListener(CompletionNotifyingSink trackingSink, Runnable cancel) {
    exchange.setCloseListener(
        () -> {
          callerDisconnected = true;
          hop.end("canceled");
          release.run();
          trackingSink.onCanceled();
          cancel.run();
        });
  }

  private void onAttemptFailed(TargetId target, EngineRequest request, Outcome outcome) {
    if (hasNoOwner(outcome)) {
      // The request did not reach the target, so its next owner may be tried.
      triedTargets.remove(target);
    }
    handleFailure(request, outcome);
  }

  private void handleFailure(EngineRequest request, Outcome outcome) {
    long nowMs = ControlThread.nowMs();
    if (hasNoOwner(outcome) && nowMs < rerouteDeadlineMs) {
      dependencies.control().executeAt(nowMs + REROUTE_PAUSE_MS, () -> attempt(request));
      return;
    }
    int attempt = request.scheduled().attempt();
    if (attempt < MAX_ATTEMPTS
        && mayRetry(request, outcome)
        && chooseTarget().isPresent()
        && dependencies.retryBudget().tryRetry()) {
      dependencies.metrics().count("models.retried");
      EngineRequest next = request.withAttempt(attempt + 1);
      long dueMs = nowMs + dependencies.backoff().pauseMs(attempt);
      dependencies.control().executeAt(dueMs, () -> attempt(next));
      return;
    }
    release.run();
    sink.fail(outcome);
  }

  /** Returns whether the request was refused before it was queued, because no owner received it. */
  private static boolean hasNoOwner(Outcome outcome) {
    return outcome instanceof Outcome.NotRun(Failure failure)
        && NO_OWNER_CODES.contains(failure.code());
  }

  /**
   * Returns whether a failed request may be sent to another target. Generation has no side effects,
   * so a request whose engine or owner was lost may run again. A suspect may not, because it could
   * crash the next engine too.
   */
  private static boolean mayRetry(EngineRequest request, Outcome outcome) {
    if (request.scheduled().alone() || ControlThread.nowMs() >= request.scheduled().deadlineMs()) {
      return false;
    }
    return switch (outcome) {
      case Outcome.NotRun(Failure failure) -> !SuspectCodes.forbidsRetry(failure.code());
      case Outcome.OutcomeUnknown(Failure failure) ->
          failure.code().equals(CallFailure.CONNECTION_LOST)
              || failure.code().equals(RemoteOwnerClient.LINK_CLOSED);
      case Outcome.Answered answered -> false;
    };
  }

  private PeerMessage.Route toRoute(TargetId target, EngineRequest request) {
    return new PeerMessage.Route(
        request.scheduled().id().value(),
        request.scheduled().attempt(),
        target.value(),
        request.scheduled().adapterVersion().toString(),
        revision.number(),
        request.scheduled().deadlineMs() - ControlThread.nowMs(),
        request.scheduled().requestClass().name(),
        request.scheduled().caller(),
        request.path(),
        request.traceparent(),
        request.body(),
        RemoteOwnerClient.CREDIT_BYTES,
        request.scheduled().alone());
  }
}
