package org.apricotstand.entry;

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

/**
 * Handles model requests of callers: resolves the adapter version, decides whether the request may
 * run, admits it and starts a {@link ModelCall}.
 */
final class ModelRequestHandler implements Service {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final InstanceId self;
  private final ControlThread control;
  private final ConfigurationService configuration;
  private final Admission admission;
  private final SuspectService suspects;
  private final ModelCall.Dependencies dependencies;
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  ModelRequestHandler(
      long incarnation,
      ConfigurationService configuration,
      Admission admission,
      SuspectService suspects,
      ModelCall.Dependencies dependencies) {
    this.self = dependencies.self();
    this.control = dependencies.control();
    this.configuration = configuration;
    this.admission = admission;
    this.suspects = suspects;
    this.dependencies = dependencies;
    this.idPrefix = self.value() + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
  }

  /** Handles a completion or chat completion request. */
  void handle(HttpExchange exchange) {
    Revision revision = configuration.activeRevision();
    RequestId id = new RequestId(idPrefix + nextId.incrementAndGet());
    switch (resolve(exchange.request(), revision, id)) {
      case Result.Ok<ResolvedRequest>(ResolvedRequest resolved) ->
          control.execute(() -> admit(exchange, revision, resolved));
      case Result.Failed<ResolvedRequest>(Failure failure) ->
          ErrorAnswer.refuse(exchange, statusOf(failure), failure);
    }
  }

  /**
   * Request whose adapter version is known.
   *
   * @param body body for the engine, which names the adapter version as its model
   */
  private record ResolvedRequest(
      RequestId id, AdapterVersion adapterVersion, Adapter adapter, byte[] body) {}

  private Result<ResolvedRequest> resolve(HttpRequest request, Revision revision, RequestId id) {
    try {
      ModelBody body = ModelBody.read(request.body());
      // A request that arrives again with the same identifier gets the same adapter version.
      String callerRequestId = request.header(EngineHeaders.REQUEST_ID);
      String versionKey = callerRequestId == null ? id.value() : callerRequestId;
      String model = body.model();
      int separator = model.indexOf(AdapterVersion.SEPARATOR);
      Optional<Adapter> adapter =
          revision.adapter(separator < 0 ? model : model.substring(0, separator));
      Optional<String> version =
          adapter.flatMap(
              found ->
                  separator < 0
                      ? VersionChoice.choose(found, versionKey)
                      : findDeclaredVersion(found, model.substring(separator + 1)));
      if (version.isEmpty()) {
        return admissionFailure("unknown_model", "no adapter version for " + model);
      }
      AdapterVersion adapterVersion = adapter.get().adapterVersion(version.get());
      return Result.ok(
          new ResolvedRequest(
              id, adapterVersion, adapter.get(), body.withModel(adapterVersion.toString())));
    } catch (IOException e) {
      return admissionFailure("invalid_body", "the body must be a JSON object with a model name");
    }
  }

  private static Optional<String> findDeclaredVersion(Adapter adapter, String version) {
    return adapter.versions().stream().filter(version::equals).findFirst();
  }

  private Result<ResolvedRequest> admissionFailure(String code, String detail) {
    return Result.failed(new Failure(Step.ADMISSION, self.value(), code, detail));
  }

  private static int statusOf(Failure failure) {
    return failure.code().equals("unknown_model") ? NOT_FOUND : BAD_REQUEST;
  }

  private void admit(HttpExchange exchange, Revision revision, ResolvedRequest resolved) {
    EngineRequest request = toRequest(exchange.request(), revision, resolved);
    RunDecision decision = suspects.decide(request);
    if (decision instanceof RunDecision.Refused(String code, long retryAfterMs)) {
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
        .ifPresent(release -> start(exchange, revision, resolved, request, decision, release));
  }

  private void start(
      HttpExchange exchange,
      Revision revision,
      ResolvedRequest resolved,
      EngineRequest request,
      RunDecision decision,
      Runnable release) {
    String model = resolved.adapter().model();
    if (decision instanceof RunDecision.Alone(Set<TargetId> crashedTargets)) {
      EngineRequest alone = request.runningAlone();
      Optional<TargetId> target = chooseTrialTarget(alone, revision, model, crashedTargets);
      new ModelCall(dependencies, exchange, revision, model, target, alone, release).start();
    } else {
      new ModelCall(dependencies, exchange, revision, model, Optional.empty(), request, release)
          .start();
    }
  }

  /**
   * Returns the engine on which a suspect runs. All instances choose the same one, so that they
   * don't send the suspect to several engines at once. Engines that it crashed are used only if
   * there is no other; the result is empty if no engine serves the model.
   */
  private static Optional<TargetId> chooseTrialTarget(
      EngineRequest request, Revision revision, String model, Set<TargetId> crashedTargets) {
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
        .filter(engine -> !crashedTargets.contains(engine))
        .findFirst()
        .or(() -> ranked.stream().findFirst());
  }

  private EngineRequest toRequest(
      HttpRequest request, Revision revision, ResolvedRequest resolved) {
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
