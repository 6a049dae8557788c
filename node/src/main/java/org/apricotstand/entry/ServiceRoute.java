package org.apricotstand.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.PlainService;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpReply;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;

/** Serves calls to plain services, each with one attempt on a connection of its own. */
final class ServiceRoute implements Service {

  private final ConfigurationService configuration;
  private final HttpCaller http;

  ServiceRoute(ConfigurationService configuration, HttpCaller http) {
    this.configuration = configuration;
    this.http = http;
  }

  /** Answers a call when its path belongs to a service. */
  boolean handle(HttpExchange exchange) {
    Revision revision = configuration.current();
    Optional<PlainService> service = revision.service(exchange.request().path());
    service.ifPresent(found -> forward(exchange, revision, found));
    return service.isPresent();
  }

  private void forward(HttpExchange exchange, Revision revision, PlainService service) {
    Optional<Target> target =
        revision.declarations().targets().stream()
            .filter(declared -> !declared.runsModel())
            .filter(declared -> declared.serves().equals(service.name()))
            .findFirst();
    if (target.isEmpty()) {
      ErrorAnswer.send(
          exchange,
          new Outcome.NotRun(
              new Failure(Step.PLACEMENT, service.name(), "no_target", "no target serves it")));
      return;
    }
    long deadlineMs = ControlThread.nowMs() + revision.declarations().policy().requestTimeoutMs();
    http.send(toCall(exchange.request(), target.get(), service, deadlineMs))
        .whenComplete((reply, error) -> answer(exchange, target.get(), reply, error));
  }

  private static HttpCall toCall(
      HttpRequest request, Target target, PlainService service, long deadlineMs) {
    Map<String, String> headers = new LinkedHashMap<>();
    copyHeader(request, headers, "content-type");
    if (service.identityHeader() != null) {
      copyHeader(request, headers, service.identityHeader());
    }
    String query = request.query().isEmpty() ? "" : "?" + request.query();
    return new HttpCall(
            request.method(),
            "http://" + target.address() + request.path() + query,
            headers,
            request.body(),
            deadlineMs,
            true)
        .onFreshConnection();
  }

  private static void copyHeader(HttpRequest request, Map<String, String> headers, String name) {
    String value = request.header(name);
    if (value != null) {
      headers.put(name, value);
    }
  }

  private static void answer(
      HttpExchange exchange, Target target, HttpReply reply, Throwable error) {
    if (error == null) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("content-type", reply.headers().get("content-type", "application/json"));
      headers.put(ErrorAnswer.OUTCOME_HEADER, "answered");
      exchange.respond(reply.status(), headers, reply.body());
      return;
    }
    boolean sent = !(error instanceof HttpCaller.CallException call) || call.failure().sent();
    Failure failure =
        new Failure(
            sent ? Step.ANSWER : Step.DISPATCH,
            target.name(),
            sent ? "no_answer" : "not_sent",
            String.valueOf(error.getMessage()));
    ErrorAnswer.send(
        exchange, sent ? new Outcome.OutcomeUnknown(failure) : new Outcome.NotRun(failure));
  }
}
