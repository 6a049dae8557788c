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
 * One admitted model request: sends it to the owner of a target and, when that attempt failed
 * before the caller got a byte, at most once more to another target. Confined to the control
 * thread.
 */
final class ModelCall {

  private static final int MAX_ATTEMPTS = 2;
  private static final String NO_OWNER = "no_owner";
  private static final Set<String> NO_OWNER_CODES =
      Set.of("not_owner", "lease_expired", NO_OWNER, "unknown_peer");

  // Covers a handover and the start of an instance; a takeover takes longer than callers wait.
  private static final long REROUTE_MS = 3_000;

  private static final long REROUTE_PAUSE_MS = 100;

  /** What the calls of an instance share. */
  record Parts(
      InstanceId self,
      ControlThread control,
      Ownership ownership,
      Predicate<TargetId> leaving,
      OwnerService owner,
      RemoteAnswers remote,
      EngineChoice choice,
      RetryBudget budget,
      Backoff backoff,
      Metrics metrics,
      Tracing tracing) {}

  private final Parts parts;
  private final HttpExchange exchange;
  private final Revision revision;
  private final String model;
  private final Tracing.Hop hop;
  private final EngineRequest first;
  private final TracedSink sink;
  private final Runnable release;
  private final Optional<TargetId> onlyTarget;
  private final Set<TargetId> tried = new HashSet<>();
  private final long rerouteUntilMs = ControlThread.nowMs() + REROUTE_MS;
  private volatile boolean callerGone;

  /**
   * Creates a call.
   *
   * @param model base model that the engine must serve
   * @param onlyTarget target that must run it, or nothing when the placement chooses
   * @param first request of the first attempt
   * @param release runs when the call has ended
   */
  ModelCall(
      Parts parts,
      HttpExchange exchange,
      Revision revision,
      String model,
      Optional<TargetId> onlyTarget,
      EngineRequest first,
      Runnable release) {
    this.parts = parts;
    this.exchange = exchange;
    this.revision = revision;
    this.model = model;
    this.onlyTarget = onlyTarget;
    this.hop =
        parts
            .tracing()
            .start(
                "entry",
                first.traceparent(),
                "request",
                first.scheduled().id(),
                "adapter",
                first.scheduled().adapterVersion());
    this.first = first.withTraceparent(hop.traceparent());
    this.sink = new TracedSink(new ExchangeSink(exchange), hop);
    this.release = release;
  }

  /** Starts the first attempt. */
  void start() {
    parts.budget().setFraction(revision.declarations().policy().retryBudgetRatio());
    parts.budget().recordFirstAttempt();
    attempt(first);
  }

  /** Returns a target whose owner is known. */
  private Optional<TargetId> chooseTarget() {
    if (onlyTarget.isPresent()) {
      return onlyTarget.filter(this::isUsable);
    }
    return parts
        .choice()
        .choose(first.scheduled().adapterVersion(), model, revision, this::isUsable);
  }

  private boolean isUsable(TargetId target) {
    return !tried.contains(target)
        && !parts.leaving().test(target)
        && parts.ownership().ownerOf(target).isPresent();
  }

  private void attempt(EngineRequest request) {
    if (callerGone) {
      return;
    }
    Optional<TargetId> target = chooseTarget();
    if (target.isEmpty()) {
      failed(
          request,
          new Outcome.NotRun(
              new Failure(
                  Step.PLACEMENT, parts.self().value(), NO_OWNER, "no engine can be reached")));
    } else {
      send(target.get(), request);
    }
  }

  private void send(TargetId target, EngineRequest request) {
    tried.add(target);
    InstanceId owner = parts.ownership().ownerOf(target).orElseThrow();
    AttemptSink attempt =
        new AttemptSink(
            sink,
            release,
            outcome -> parts.control().execute(() -> attemptFailed(target, request, outcome)));
    CountedSink counted = parts.choice().watch(target, attempt);
    if (owner.equals(parts.self())) {
      onCallerGone(
          counted,
          () ->
              parts
                  .control()
                  .execute(() -> parts.owner().cancel(target, request.scheduled().id())));
      parts.owner().submit(target, request, counted);
      parts.choice().learn(parts.owner().loadOf(target));
    } else {
      PeerMessage.Route route = toRoute(target, request);
      onCallerGone(counted, () -> parts.remote().cancel(route));
      parts.remote().send(owner, route, counted);
    }
  }

  private void onCallerGone(CountedSink counted, Runnable cancel) {
    exchange.onClosed(
        () -> {
          callerGone = true;
          hop.end("canceled");
          release.run();
          counted.canceled();
          cancel.run();
        });
  }

  private void attemptFailed(TargetId target, EngineRequest request, Outcome outcome) {
    if (isNoOwner(outcome)) {
      // Nothing was tried there: the next owner of the target may take the request.
      tried.remove(target);
    }
    failed(request, outcome);
  }

  private void failed(EngineRequest request, Outcome outcome) {
    long nowMs = ControlThread.nowMs();
    if (isNoOwner(outcome) && nowMs < rerouteUntilMs) {
      parts.control().executeAt(nowMs + REROUTE_PAUSE_MS, () -> attempt(request));
      return;
    }
    int number = request.scheduled().attempt();
    if (number < MAX_ATTEMPTS
        && mayRepeat(request, outcome)
        && chooseTarget().isPresent()
        && parts.budget().tryRetry()) {
      parts.metrics().count("models.retried");
      EngineRequest next = request.withAttempt(number + 1);
      long dueMs = nowMs + parts.backoff().pauseMs(number);
      parts.control().executeAt(dueMs, () -> attempt(next));
      return;
    }
    release.run();
    sink.failed(outcome);
  }

  /** The request was refused before it was queued, by an instance that does not own the target. */
  private static boolean isNoOwner(Outcome outcome) {
    return outcome instanceof Outcome.NotRun(Failure failure)
        && NO_OWNER_CODES.contains(failure.code());
  }

  /**
   * Generation has no side effect, so that a request whose engine or owner was lost may run again.
   * A suspect may not: it would take the next engine down.
   */
  private static boolean mayRepeat(EngineRequest request, Outcome outcome) {
    if (request.scheduled().alone() || ControlThread.nowMs() >= request.scheduled().deadlineMs()) {
      return false;
    }
    return switch (outcome) {
      case Outcome.NotRun(Failure failure) -> !SuspectCodes.forbidsRetry(failure.code());
      case Outcome.OutcomeUnknown(Failure failure) ->
          failure.code().equals(CallFailure.CONNECTION_LOST)
              || failure.code().equals(RemoteAnswers.LINK_CLOSED);
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
        RemoteAnswers.CREDIT_BYTES,
        request.scheduled().alone());
  }
}
