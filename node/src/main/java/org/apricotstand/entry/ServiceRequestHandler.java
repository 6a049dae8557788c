package org.apricotstand.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apricotstand.claim.ClaimEvent;
import org.apricotstand.claim.ClaimHash;
import org.apricotstand.claim.ClaimOutcome;
import org.apricotstand.claim.StoredAnswer;
import org.apricotstand.claims.ClaimService;
import org.apricotstand.claims.ClaimedCall;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.Step;

/**
 * Handles calls to plain services. A call that carries an identity and is not repeatable is claimed
 * before it is sent, so that it runs at most once; others are sent directly, and retried only if
 * they are repeatable.
 */
final class ServiceRequestHandler implements Service {

  private final ConfigurationService configuration;
  private final ControlThread control;
  private final Admission admission;
  private final ServiceTargets targets;
  private final ServiceCallSender callSender;
  private final ClaimService claims;

  ServiceRequestHandler(
      ConfigurationService configuration,
      ControlThread control,
      Admission admission,
      ServiceTargets targets,
      ServiceCallSender callSender,
      ClaimService claims) {
    this.configuration = configuration;
    this.control = control;
    this.admission = admission;
    this.targets = targets;
    this.callSender = callSender;
    this.claims = claims;
  }

  /** Handles a call if its path belongs to a plain service; returns whether it does. */
  boolean handle(HttpExchange exchange) {
    Revision revision = configuration.activeRevision();
    Optional<PlainService> service = revision.service(exchange.request().path());
    service.ifPresent(found -> control.execute(() -> admit(exchange, revision, found)));
    return service.isPresent();
  }

  private void admit(HttpExchange exchange, Revision revision, PlainService service) {
    long deadlineMs = ControlThread.nowMs() + revision.declarations().policy().requestTimeoutMs();
    admission
        .admit(exchange, RequestClass.INTERACTIVE, revision.declarations().policy())
        .ifPresent(release -> new Call(exchange, revision, service, deadlineMs, release).start());
  }

  /** One admitted call; confined to the control thread. */
  private final class Call implements ClaimedCall {
    private final HttpExchange exchange;
    private final Revision revision;
    private final PlainService service;
    private final long deadlineMs;
    private final Runnable release;

    /** Reply of the target, or null if the call was answered from the stored answer of a claim. */
    private HttpReply targetReply;

    Call(
        HttpExchange exchange,
        Revision revision,
        PlainService service,
        long deadlineMs,
        Runnable release) {
      this.exchange = exchange;
      this.revision = revision;
      this.service = service;
      this.deadlineMs = deadlineMs;
      this.release = release;
    }

    void start() {
      HttpRequest request = exchange.request();
      Optional<String> identity = IdentityReader.read(request, service);
      if (service.repeatable()) {
        send(ServiceCallSender.RetryPolicy.ALWAYS, this::respondWithResult);
      } else if (identity.isEmpty()) {
        send(ServiceCallSender.RetryPolicy.NEVER, this::respondWithResult);
      } else {
        String query = request.query().isEmpty() ? "" : "?" + request.query();
        String fingerprint =
            ClaimHash.fingerprint(request.method(), request.path() + query, request.body());
        claims.claim(service.name(), identity.get(), fingerprint, deadlineMs, this);
      }
    }

    private void send(
        ServiceCallSender.RetryPolicy retryPolicy, Consumer<ServiceCallResult> onResult) {
      List<Target> orderedTargets = targets.nextAttemptOrder(revision, service);
      if (orderedTargets.isEmpty()) {
        onResult.accept(
            new ServiceCallResult.NotSent(
                new Failure(
                    Step.PLACEMENT,
                    service.name(),
                    "no_target",
                    "the service has no available target")));
      } else {
        double retryRatio = revision.declarations().policy().retryBudgetRatio();
        callSender.send(
            exchange.request(), orderedTargets, retryPolicy, retryRatio, deadlineMs, onResult);
      }
    }

    private void respondWithResult(ServiceCallResult result) {
      release.run();
      switch (result) {
        case ServiceCallResult.Replied(HttpReply reply) -> forward(reply);
        case ServiceCallResult.NotSent(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.NotRun(failure));
        case ServiceCallResult.OutcomeUnknown(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.OutcomeUnknown(failure));
      }
    }

    @Override
    public void dispatch(Consumer<ClaimEvent> listener) {
      send(
          ServiceCallSender.RetryPolicy.WHILE_NOT_SENT,
          result -> listener.accept(toClaimEvent(result)));
    }

    private ClaimEvent toClaimEvent(ServiceCallResult result) {
      return switch (result) {
        case ServiceCallResult.Replied(HttpReply reply) -> {
          targetReply = reply;
          Map<String, String> headers = EndToEndHeaders.of(reply.headers());
          yield new ClaimEvent.CallAnswered(StoredAnswer.of(reply.status(), headers, reply.body()));
        }
        case ServiceCallResult.NotSent(Failure failure) -> new ClaimEvent.CallNotSent(failure);
        case ServiceCallResult.OutcomeUnknown(Failure failure) ->
            new ClaimEvent.CallOutcomeUnknown(failure);
      };
    }

    @Override
    public void finish(ClaimOutcome outcome) {
      release.run();
      switch (outcome) {
        case ClaimOutcome.Answered(StoredAnswer stored) -> {
          if (targetReply != null) {
            forward(targetReply);
          } else {
            respond(stored.status(), stored.headers(), stored.body());
          }
        }
        case ClaimOutcome.NotRun(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.NotRun(failure));
        case ClaimOutcome.Unknown(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.OutcomeUnknown(failure));
      }
    }

    private void forward(HttpReply reply) {
      respond(reply.status(), EndToEndHeaders.of(reply.headers()), reply.body());
    }

    private void respond(int status, Map<String, String> headers, byte[] body) {
      Map<String, String> withOutcome = new LinkedHashMap<>(headers);
      withOutcome.put(ErrorAnswer.OUTCOME_HEADER, "answered");
      exchange.respond(status, withOutcome, body);
    }
  }
}
