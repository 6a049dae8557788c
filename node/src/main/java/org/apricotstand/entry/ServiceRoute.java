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

/** Serves calls to plain services: directly, or through a claim when they must not be repeated. */
final class ServiceRoute implements Service {

  private final ConfigurationService configuration;
  private final ControlThread control;
  private final Admission admission;
  private final ServiceTargets targets;
  private final ServiceCalls calls;
  private final ClaimService claims;

  ServiceRoute(
      ConfigurationService configuration,
      ControlThread control,
      Admission admission,
      ServiceTargets targets,
      ServiceCalls calls,
      ClaimService claims) {
    this.configuration = configuration;
    this.control = control;
    this.admission = admission;
    this.targets = targets;
    this.calls = calls;
    this.claims = claims;
  }

  /** Answers a call when its path belongs to a service. */
  boolean handle(HttpExchange exchange) {
    Revision revision = configuration.current();
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

  /** One call; confined to the control thread. */
  private final class Call implements ClaimedCall {
    private final HttpExchange exchange;
    private final Revision revision;
    private final PlainService service;
    private final long deadlineMs;
    private final Runnable release;
    private HttpReply wholeReply;

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
        send(ServiceCalls.Retry.ALWAYS, this::answer);
      } else if (identity.isEmpty()) {
        send(ServiceCalls.Retry.NEVER, this::answer);
      } else {
        String query = request.query().isEmpty() ? "" : "?" + request.query();
        String fingerprint =
            ClaimHash.fingerprint(request.method(), request.path() + query, request.body());
        claims.claim(service.name(), identity.get(), fingerprint, deadlineMs, this);
      }
    }

    private void send(ServiceCalls.Retry retry, Consumer<ServiceEnd> done) {
      List<Target> order = targets.next(revision, service);
      if (order.isEmpty()) {
        done.accept(
            new ServiceEnd.NotSent(
                new Failure(Step.PLACEMENT, service.name(), "no_target", "no target serves it")));
      } else {
        double ratio = revision.declarations().policy().retryBudgetRatio();
        calls.send(exchange.request(), order, retry, ratio, deadlineMs, done);
      }
    }

    private void answer(ServiceEnd end) {
      release.run();
      switch (end) {
        case ServiceEnd.Replied(HttpReply reply) -> pass(reply);
        case ServiceEnd.NotSent(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.NotRun(failure));
        case ServiceEnd.Lost(Failure failure) ->
            ErrorAnswer.send(exchange, new Outcome.OutcomeUnknown(failure));
      }
    }

    @Override
    public void dispatch(Consumer<ClaimEvent> ended) {
      send(ServiceCalls.Retry.WHILE_NOT_SENT, end -> ended.accept(eventOf(end)));
    }

    private ClaimEvent eventOf(ServiceEnd end) {
      return switch (end) {
        case ServiceEnd.Replied(HttpReply reply) -> {
          wholeReply = reply;
          Map<String, String> headers = EndToEndHeaders.of(reply.headers());
          yield new ClaimEvent.CallAnswered(StoredAnswer.of(reply.status(), headers, reply.body()));
        }
        case ServiceEnd.NotSent(Failure failure) -> new ClaimEvent.CallNotSent(failure);
        case ServiceEnd.Lost(Failure failure) -> new ClaimEvent.CallOutcomeUnknown(failure);
      };
    }

    @Override
    public void finish(ClaimOutcome ending) {
      release.run();
      switch (ending) {
        case ClaimOutcome.Answered(StoredAnswer stored) -> {
          if (wholeReply != null) {
            pass(wholeReply);
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

    private void pass(HttpReply reply) {
      respond(reply.status(), EndToEndHeaders.of(reply.headers()), reply.body());
    }

    private void respond(int status, Map<String, String> headers, byte[] body) {
      Map<String, String> withOutcome = new LinkedHashMap<>(headers);
      withOutcome.put(ErrorAnswer.OUTCOME_HEADER, "answered");
      exchange.respond(status, withOutcome, body);
    }
  }
}
