package org.apricotstand.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
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
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.Ownership;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.suspects.SuspectCodes;

/**
 * One admitted model request: sends it to the owner of a target and, when that attempt failed
 * before the caller got a byte, at most once more to another target. Confined to the control
 * thread.
 */
final class ModelCall {

  private static final int MAX_ATTEMPTS = 2;

  /** What the calls of an instance share. */
  record Parts(
      InstanceId self,
      ControlThread control,
      Ownership ownership,
      OwnerService owner,
      RemoteAnswers remote,
      EngineChoice choice,
      RetryBudget budget,
      Backoff backoff,
      Metrics metrics) {}

  private final Parts parts;
  private final HttpExchange exchange;
  private final Revision revision;
  private final String model;
  private final EngineRequest first;
  private final ExchangeSink sink;
  private final Runnable release;
  private final Set<TargetId> tried = new HashSet<>();

  /**
   * Creates a call.
   *
   * @param model base model that the engine must serve
   * @param first request of the first attempt
   * @param release runs when the call has ended
   */
  ModelCall(
      Parts parts,
      HttpExchange exchange,
      Revision revision,
      String model,
      EngineRequest first,
      Runnable release) {
    this.parts = parts;
    this.exchange = exchange;
    this.revision = revision;
    this.model = model;
    this.first = first;
    this.sink = new ExchangeSink(exchange);
    this.release = release;
  }

  /** Starts the first attempt on the engine that the placement chooses. */
  void start() {
    parts.budget().attempted();
    startOn(chooseTarget());
  }

  /** Starts the first attempt on a given engine. */
  void startOn(Optional<TargetId> target) {
    if (target.flatMap(parts.ownership()::ownerOf).isEmpty()) {
      release.run();
      sink.failed(
          new Outcome.NotRun(
              new Failure(
                  Step.PLACEMENT, parts.self().value(), "no_owner", "no engine can be reached")));
    } else {
      attempt(target.get(), first);
    }
  }

  private Optional<TargetId> chooseTarget() {
    return parts
        .choice()
        .choose(
            first.scheduled().adapterVersion(),
            model,
            revision,
            engine -> !tried.contains(engine) && parts.ownership().ownerOf(engine).isPresent());
  }

  private void attempt(TargetId target, EngineRequest request) {
    tried.add(target);
    InstanceId owner = parts.ownership().ownerOf(target).orElseThrow();
    AttemptSink attempt =
        new AttemptSink(
            sink,
            release,
            outcome -> parts.control().execute(() -> failed(target, request, outcome)));
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
          release.run();
          counted.canceled();
          cancel.run();
        });
  }

  private void failed(TargetId target, EngineRequest request, Outcome outcome) {
    int number = request.scheduled().attempt();
    Optional<TargetId> other =
        number < MAX_ATTEMPTS && mayRepeat(request, outcome) ? chooseTarget() : Optional.empty();
    if (other.isEmpty() || !parts.budget().tryRetry()) {
      release.run();
      sink.failed(outcome);
      return;
    }
    parts.metrics().count("models.retried");
    EngineRequest next = request.withAttempt(number + 1);
    long dueMs = ControlThread.nowMs() + parts.backoff().pauseMs(number);
    parts.control().executeAt(dueMs, () -> retry(other.get(), next, outcome));
  }

  private void retry(TargetId target, EngineRequest request, Outcome former) {
    if (parts.ownership().ownerOf(target).isEmpty()) {
      release.run();
      sink.failed(former);
    } else {
      attempt(target, request);
    }
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
