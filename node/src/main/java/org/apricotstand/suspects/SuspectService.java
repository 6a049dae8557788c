package org.apricotstand.suspects;

import java.util.Collection;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.Failure;
import org.apricotstand.model.InstanceId;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.RequestGuard;
import org.apricotstand.peer.PeerListener;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerSender;
import org.apricotstand.suspect.CrashSuspects;
import org.apricotstand.suspect.Fingerprint;
import org.apricotstand.suspect.RunDecision;
import org.apricotstand.suspect.SuspectEvent;
import org.apricotstand.suspect.SuspectRegistry;
import org.apricotstand.suspect.Trait;

/**
 * Maintains the registry of suspects of this instance and exchanges crashes with other instances.
 * Blames crashes on whole requests and on the adapters that different requests share. All methods
 * run on the control thread.
 */
public final class SuspectService implements Service, PeerListener, RequestGuard {

  private static final EventLog LOG = EventLog.of(SuspectService.class);
  private static final String CRASHED = "crashed";
  private static final String CLEARED = "cleared";

  private final ControlThread control;
  private final EngineClient engines;
  private final PeerSender peers;
  private final Supplier<Collection<InstanceId>> otherInstances;
  private final Metrics metrics;
  private final SuspectRegistry registry = new SuspectRegistry();
  private final CrashSuspects adapters = new CrashSuspects();

  /**
   * Creates the service.
   *
   * @param otherInstances supplies the instances of all failure domains, to which crashes are sent
   */
  public SuspectService(
      ControlThread control,
      EngineClient engines,
      PeerSender peers,
      Supplier<Collection<InstanceId>> otherInstances,
      Metrics metrics) {
    this.control = control;
    this.engines = engines;
    this.peers = peers;
    this.otherInstances = otherInstances;
    this.metrics = metrics;
  }

  /** Returns whether and how a request may run. */
  public RunDecision decide(EngineRequest request) {
    long nowMs = ControlThread.nowMs();
    OptionalLong adapterRefusedUntilMs = adapters.refusedUntilMs(adapterOf(request), nowMs);
    if (adapterRefusedUntilMs.isPresent()) {
      return new RunDecision.Refused(
          SuspectRegistry.REFUSED, adapterRefusedUntilMs.getAsLong() - nowMs);
    }
    // Requests need not be hashed while there are no suspects.
    return registry.size() == 0
        ? new RunDecision.Unrestricted()
        : registry.decide(fingerprintOf(request), nowMs);
  }

  private static Trait adapterOf(EngineRequest request) {
    return new Trait.Adapter(request.scheduled().adapterVersion().toString());
  }

  /**
   * Decides at the owner whether a request is queued. An entry instance that has not learned of a
   * crash yet chooses the target of a suspect as for any other request, which could crash a third
   * target.
   */
  @Override
  public Result<EngineRequest> admit(TargetId target, EngineRequest request) {
    return switch (decide(request)) {
      case RunDecision.Unrestricted unrestricted -> Result.ok(request);
      case RunDecision.Refused(String code, long retryAfterMs) ->
          refusal(
              target,
              code,
              "engines crashed while they ran this request or others with its adapter");
      case RunDecision.Alone alone when request.scheduled().alone() -> Result.ok(request);
      case RunDecision.Alone alone ->
          refusal(target, SuspectCodes.NOT_ALONE, "the request must run alone; send it again");
    };
  }

  private static Result<EngineRequest> refusal(TargetId target, String code, String detail) {
    return Result.failed(new Failure(Step.QUEUE, target.value(), code, detail));
  }

  /** Returns a sink that reports the end of the run if the request runs alone. */
  @Override
  public AnswerSink onQueued(EngineRequest request, AnswerSink sink) {
    if (!request.scheduled().alone()) {
      return sink;
    }
    String fingerprint = fingerprintOf(request);
    long deadlineMs = request.scheduled().deadlineMs();
    registry.handle(new SuspectEvent.TrialStarted(fingerprint, deadlineMs), ControlThread.nowMs());
    metrics.count("suspects.trials");
    return new TrialSink(
        sink, isComplete -> control.execute(() -> onTrialEnded(fingerprint, isComplete)));
  }

  private void onTrialEnded(String fingerprint, boolean isComplete) {
    apply(new SuspectEvent.TrialEnded(fingerprint));
    if (isComplete) {
      apply(new SuspectEvent.RequestFinished(fingerprint));
      sendToOtherInstances(new PeerMessage.SuspectNoted(fingerprint, "", 0, CLEARED));
    }
  }

  @Override
  public AnswerSink onDispatched(
      TargetId target, String address, long incarnation, EngineRequest request, AnswerSink sink) {
    return new CrashDetectingSink(
        this, control, engines, target, address, incarnation, request, sink);
  }

  /** Returns a hash that is equal for all attempts of a request. */
  public static String fingerprintOf(EngineRequest request) {
    return Fingerprint.of(request.scheduled().adapterVersion(), request.path(), request.body());
  }

  void apply(SuspectEvent event) {
    registry.handle(event, ControlThread.nowMs());
  }

  /**
   * Records that an engine crashed while it ran a request, and tells the other instances.
   *
   * @param begun whether the engine had begun to answer, so that the adapter is no suspect
   */
  void reportCrash(EngineRequest request, TargetId target, long incarnation, boolean begun) {
    String fingerprint = fingerprintOf(request);
    LOG.warn(
        "engine_crashed", "target", target, "incarnation", incarnation, "suspect", fingerprint);
    metrics.count("suspects.crashes");
    apply(new SuspectEvent.TargetCrashed(fingerprint, target, incarnation));
    sendToOtherInstances(
        new PeerMessage.SuspectNoted(fingerprint, target.value(), incarnation, CRASHED));
    if (!begun) {
      Trait adapter = adapterOf(request);
      blame(adapter, target, incarnation);
      sendToOtherInstances(
          new PeerMessage.SuspectNoted(adapter.encode(), target.value(), incarnation, CRASHED));
    }
  }

  private void blame(Trait adapter, TargetId target, long incarnation) {
    adapters
        .recordCrash(target + "#" + incarnation, Map.of(adapter, 1), ControlThread.nowMs())
        .forEach(refused -> LOG.warn("trait_refused", "trait", refused.encode(), "target", target));
  }

  /** Records that an engine has answered a request, and tells the others if that is news. */
  void recordAnswer(EngineRequest request) {
    Trait adapter = adapterOf(request);
    if (adapters.recordAnswer(adapter, ControlThread.nowMs())) {
      LOG.info("trait_cleared", "trait", adapter.encode());
      sendToOtherInstances(new PeerMessage.SuspectNoted(adapter.encode(), "", 0, CLEARED));
    }
  }

  private void sendToOtherInstances(PeerMessage message) {
    otherInstances.get().forEach(peer -> peers.send(peer, message));
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    if (message instanceof PeerMessage.SuspectNoted noted) {
      Trait.decode(noted.fingerprint())
          .ifPresentOrElse(adapter -> onAdapterNoted(adapter, noted), () -> onRequestNoted(noted));
    }
  }

  private void onAdapterNoted(Trait adapter, PeerMessage.SuspectNoted noted) {
    if (noted.state().equals(CRASHED)) {
      blame(adapter, new TargetId(noted.target()), noted.targetIncarnation());
    } else {
      adapters.recordAnswer(adapter, ControlThread.nowMs());
    }
  }

  private void onRequestNoted(PeerMessage.SuspectNoted noted) {
    apply(
        noted.state().equals(CRASHED)
            ? new SuspectEvent.TargetCrashed(
                noted.fingerprint(), new TargetId(noted.target()), noted.targetIncarnation())
            : new SuspectEvent.RequestFinished(noted.fingerprint()));
  }
}
