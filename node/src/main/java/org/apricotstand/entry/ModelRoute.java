package org.apricotstand.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Target;
import org.apricotstand.declaration.VersionChoice;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.placement.Rendezvous;
import org.apricotstand.schedule.ScheduledRequest;
import org.apricotstand.suspect.RunDecision;
import org.apricotstand.suspects.SuspectService;

/** Serves model requests: resolves the adapter version, picks the engine, asks its owner. */
final class ModelRoute implements Service {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final InstanceId self;
  private final ControlThread control;
  private final ConfigurationService configuration;
  private final Admission admission;
  private final SuspectService suspects;
  private final ModelCall.Parts parts;
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  ModelRoute(
      long incarnation,
      ConfigurationService configuration,
      Admission admission,
      SuspectService suspects,
      ModelCall.Parts parts) {
    this.self = parts.self();
    this.control = parts.control();
    this.configuration = configuration;
    this.admission = admission;
    this.suspects = suspects;
    this.parts = parts;
    this.idPrefix = self.value() + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
  }

  /** Answers a completion or chat request. */
  void handle(HttpExchange exchange) {
    Revision revision = configuration.current();
    RequestId id = new RequestId(idPrefix + nextId.incrementAndGet());
    switch (resolve(exchange.request(), revision, id)) {
      case Result.Ok<Resolved>(Resolved resolved) ->
          control.execute(() -> route(exchange, revision, resolved));
      case Result.Failed<Resolved>(Failure failure) ->
          ErrorAnswer.refuse(exchange, statusOf(failure), failure);
    }
  }

  private record Resolved(
      RequestId id, AdapterVersion adapterVersion, Adapter adapter, byte[] body) {}

  private Result<Resolved> resolve(HttpRequest request, Revision revision, RequestId id) {
    try {
      JsonNode body = JSON.readTree(request.body());
      if (!(body instanceof ObjectNode object) || !object.path("model").isTextual()) {
        return refused("invalid_body", "the body must be a JSON object with a model name");
      }
      // A caller that sends a request again with its own identifier gets the same version.
      String given = request.header(EngineHeaders.REQUEST_ID);
      String choiceKey = given == null ? id.value() : given;
      String model = object.path("model").asText();
      int at = model.indexOf(AdapterVersion.SEPARATOR);
      Optional<Adapter> adapter = revision.adapter(at < 0 ? model : model.substring(0, at));
      Optional<String> version =
          adapter.flatMap(
              found ->
                  at < 0
                      ? VersionChoice.choose(found, choiceKey)
                      : declared(found, model.substring(at + 1)));
      if (version.isEmpty()) {
        return refused("unknown_model", "no adapter version for " + model);
      }
      AdapterVersion adapterVersion = adapter.get().at(version.get());
      object.put("model", adapterVersion.toString());
      return Result.ok(
          new Resolved(id, adapterVersion, adapter.get(), JSON.writeValueAsBytes(object)));
    } catch (IOException e) {
      return refused("invalid_body", "the body is not JSON");
    }
  }

  private static Optional<String> declared(Adapter adapter, String version) {
    return adapter.versions().stream().filter(version::equals).findFirst();
  }

  private Result<Resolved> refused(String code, String detail) {
    return Result.failed(new Failure(Step.ADMISSION, self.value(), code, detail));
  }

  private static int statusOf(Failure failure) {
    return failure.code().equals("unknown_model") ? NOT_FOUND : BAD_REQUEST;
  }

  private void route(HttpExchange exchange, Revision revision, Resolved resolved) {
    EngineRequest request = toRequest(exchange.request(), revision, resolved);
    RunDecision verdict = suspects.decide(request);
    if (verdict instanceof RunDecision.Refused(String code, long retryAfterMs)) {
      admission.refuse(
          exchange, code, "the request was running when an engine crashed", retryAfterMs);
      return;
    }
    admission
        .admit(
            exchange,
            request.scheduled().requestClass(),
            revision.declarations().policy(),
            resolved.adapter())
        .ifPresent(release -> start(exchange, revision, resolved, request, verdict, release));
  }

  private void start(
      HttpExchange exchange,
      Revision revision,
      Resolved resolved,
      EngineRequest request,
      RunDecision verdict,
      Runnable release) {
    String model = resolved.adapter().model();
    if (verdict instanceof RunDecision.Alone(Set<TargetId> crashed)) {
      EngineRequest alone = request.runningAlone();
      Optional<TargetId> target = trialTarget(alone, revision, model, crashed);
      new ModelCall(parts, exchange, revision, model, target, alone, release).start();
    } else {
      new ModelCall(parts, exchange, revision, model, Optional.empty(), request, release).start();
    }
  }

  /**
   * Returns the engine on which a suspect runs: the same one from all instances, so that they
   * cannot send it to several engines at once, and not one that it crashed while there is another.
   */
  private static Optional<TargetId> trialTarget(
      EngineRequest request, Revision revision, String model, Set<TargetId> crashed) {
    List<Target> engines =
        revision.declarations().targets().stream()
            .filter(Target::runsModel)
            .filter(engine -> engine.serves().equals(model))
            .toList();
    List<TargetId> ranked =
        Rendezvous.rank(SuspectService.fingerprintOf(request), engines, Target::name).stream()
            .map(engine -> new TargetId(engine.name()))
            .toList();
    return ranked.stream()
        .filter(engine -> !crashed.contains(engine))
        .findFirst()
        .or(() -> ranked.stream().findFirst());
  }

  private EngineRequest toRequest(HttpRequest request, Revision revision, Resolved resolved) {
    long nowMs = ControlThread.nowMs();
    ScheduledRequest scheduled =
        new ScheduledRequest(
            resolved.id(),
            1,
            resolved.adapterVersion(),
            RequestClass.valueOf(resolved.adapter().requestClass().toUpperCase(Locale.ROOT)),
            CallerName.of(request),
            nowMs,
            nowMs + revision.declarations().policy().requestTimeoutMs());
    String traceparent = request.header(EngineHeaders.TRACEPARENT);
    return new EngineRequest(
        scheduled, request.path(), traceparent == null ? "" : traceparent, resolved.body());
  }
}
