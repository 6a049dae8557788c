package org.apricotstand.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.configuration.Revision;
import org.apricotstand.control.ControlThread;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.VersionChoice;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.AdapterVersion;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.RequestClass;
import org.apricotstand.model.RequestId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.Ownership;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.schedule.ScheduledRequest;

/** Serves model requests: resolves the adapter version, picks the engine, asks its owner. */
final class ModelRoute implements Service {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  // Covers a handover and the start of an instance; a takeover takes longer than callers wait.
  private static final long REROUTE_MS = 3_000;
  private static final long REROUTE_PAUSE_MS = 100;

  private final InstanceId self;
  private final ControlThread control;
  private final ConfigurationService configuration;
  private final Ownership ownership;
  private final OwnerService owner;
  private final RemoteAnswers remote;
  private final EngineChoice choice;
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  ModelRoute(
      InstanceId self,
      long incarnation,
      ControlThread control,
      ConfigurationService configuration,
      Ownership ownership,
      OwnerService owner,
      RemoteAnswers remote,
      EngineChoice choice) {
    this.self = self;
    this.control = control;
    this.configuration = configuration;
    this.ownership = ownership;
    this.owner = owner;
    this.remote = remote;
    this.choice = choice;
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
      String model = object.path("model").asText();
      int at = model.indexOf(AdapterVersion.SEPARATOR);
      Optional<Adapter> adapter = revision.adapter(at < 0 ? model : model.substring(0, at));
      // A caller that sends a request again with its own identifier gets the same version.
      String given = request.header(EngineHeaders.REQUEST_ID);
      String choiceKey = given == null ? id.value() : given;
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
    long untilMs = ControlThread.nowMs() + REROUTE_MS;
    routeOnce(exchange, revision, resolved, untilMs);
  }

  /** Sends a request to the owner; looks for the owner again when it was refused as none. */
  private void routeOnce(
      HttpExchange exchange, Revision revision, Resolved resolved, long untilMs) {
    AnswerSink sink =
        new RerouteSink(
            new ExchangeSink(exchange),
            () -> ControlThread.nowMs() < untilMs,
            () ->
                control.executeAt(
                    ControlThread.nowMs() + REROUTE_PAUSE_MS,
                    () -> routeOnce(exchange, revision, resolved, untilMs)));
    long nowMs = ControlThread.nowMs();
    Optional<TargetId> target =
        choice.choose(
            resolved.adapterVersion(),
            resolved.adapter().model(),
            revision,
            engine -> ownership.ownerOf(engine).isPresent());
    Optional<InstanceId> targetOwner = target.flatMap(ownership::ownerOf);
    if (targetOwner.isEmpty()) {
      sink.failed(
          new Outcome.NotRun(
              new Failure(Step.PLACEMENT, self.value(), "no_owner", "no engine can be reached")));
      return;
    }
    EngineRequest request = toRequest(exchange.request(), revision, resolved, nowMs);
    CountedSink counted = choice.watch(target.get(), sink);
    if (targetOwner.get().equals(self)) {
      exchange.onClosed(
          () -> {
            counted.canceled();
            control.execute(() -> owner.cancel(target.get(), request.scheduled().id()));
          });
      owner.submit(target.get(), request, counted);
      choice.learn(owner.loadOf(target.get()));
    } else {
      PeerMessage.Route route = toRoute(target.get(), request, revision, nowMs);
      exchange.onClosed(
          () -> {
            counted.canceled();
            remote.cancel(route);
          });
      remote.send(targetOwner.get(), route, counted);
    }
  }

  private EngineRequest toRequest(
      HttpRequest request, Revision revision, Resolved resolved, long nowMs) {
    ScheduledRequest scheduled =
        new ScheduledRequest(
            resolved.id(),
            1,
            resolved.adapterVersion(),
            RequestClass.valueOf(resolved.adapter().requestClass().toUpperCase(Locale.ROOT)),
            request.remote(),
            nowMs,
            nowMs + revision.declarations().policy().requestTimeoutMs());
    String traceparent = request.header(EngineHeaders.TRACEPARENT);
    return new EngineRequest(
        scheduled, request.path(), traceparent == null ? "" : traceparent, resolved.body());
  }

  private static PeerMessage.Route toRoute(
      TargetId target, EngineRequest request, Revision revision, long nowMs) {
    ScheduledRequest scheduled = request.scheduled();
    return new PeerMessage.Route(
        scheduled.id().value(),
        scheduled.attempt(),
        target.value(),
        scheduled.adapterVersion().toString(),
        revision.number(),
        scheduled.deadlineMs() - nowMs,
        scheduled.requestClass().name(),
        scheduled.caller(),
        request.path(),
        request.traceparent(),
        request.body(),
        RemoteAnswers.CREDIT_BYTES);
  }
}
