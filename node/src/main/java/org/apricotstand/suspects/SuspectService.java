package org.apricotstand.suspects;

import java.util.Collection;
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
import org.apricotstand.suspect.Fingerprint;
import org.apricotstand.suspect.SuspectEvent;
import org.apricotstand.suspect.SuspectRegistry;
import org.apricotstand.suspect.Verdict;

/**
 * Keeps the registry of suspects of this instance and exchanges crashes with the others. All
 * methods run on the control thread.
 */
public final class SuspectService implements Service, PeerListener, RequestGuard {

  private static final EventLog LOG = EventLog.of(SuspectService.class);
  private static final String CRASHED = "crashed";
  private static final String CLEARED = "cleared";

  private final ControlThread control;
  private final EngineClient engines;
  private final PeerSender peers;
  private final Supplier<Collection<InstanceId>> others;
  private final Metrics metrics;
  private final SuspectRegistry registry = new SuspectRegistry();

  /**
   * Creates the service.
   *
   * @param others instances that are told of crashes, in all domains
   */
  public SuspectService(
      ControlThread control,
      EngineClient engines,
      PeerSender peers,
      Supplier<Collection<InstanceId>> others,
      Metrics metrics) {
    this.control = control;
    this.engines = engines;
    this.peers = peers;
    this.others = others;
    this.metrics = metrics;
  }

  /** Returns how a request may run. */
  public Verdict verdict(EngineRequest request) {
    // Without suspects, no request has to be hashed.
    return registry.size() == 0
        ? new Verdict.Free()
        : registry.verdict(fingerprintOf(request), ControlThread.nowMs());
  }

  /**
   * Decides at the owner whether a request is queued. An instance that knows less than the owner
   * would choose the target of a suspect as that of any other request, and so a third one.
   */
  @Override
  public Result<EngineRequest> admit(TargetId target, EngineRequest request) {
    return switch (verdict(request)) {
      case Verdict.Free free -> Result.ok(request);
      case Verdict.Refused(String code, long retryAfterMs) ->
          refused(target, code, "the request was running when an engine crashed");
      case Verdict.Alone alone when request.scheduled().alone() -> Result.ok(request);
      case Verdict.Alone alone ->
          refused(target, SuspectCodes.NOT_ALONE, "the request must run alone; send it again");
    };
  }

  private static Result<EngineRequest> refused(TargetId target, String code, String detail) {
    return Result.failed(new Failure(Step.QUEUE, target.value(), code, detail));
  }

  /** For a request that runs alone, the sink notes the end. */
  @Override
  public AnswerSink queued(EngineRequest request, AnswerSink sink) {
    if (!request.scheduled().alone()) {
      return sink;
    }
    String fingerprint = fingerprintOf(request);
    long deadlineMs = request.scheduled().deadlineMs();
    registry.handle(new SuspectEvent.TrialStarted(fingerprint, deadlineMs), ControlThread.nowMs());
    metrics.count("suspects.trials");
    return new TrialSink(sink, whole -> control.execute(() -> trialEnded(fingerprint, whole)));
  }

  private void trialEnded(String fingerprint, boolean whole) {
    note(new SuspectEvent.TrialEnded(fingerprint));
    if (whole) {
      note(new SuspectEvent.Finished(fingerprint));
      tell(new PeerMessage.SuspectNoted(fingerprint, "", 0, CLEARED));
    }
  }

  @Override
  public AnswerSink dispatched(
      TargetId target, String address, long incarnation, EngineRequest request, AnswerSink sink) {
    return new CrashWatch(this, control, engines, target, address, incarnation, request, sink);
  }

  /** Returns what all sendings of a request have in common. */
  public static String fingerprintOf(EngineRequest request) {
    return Fingerprint.of(request.scheduled().adapterVersion(), request.path(), request.body());
  }

  void note(SuspectEvent event) {
    registry.handle(event, ControlThread.nowMs());
  }

  void crashed(String fingerprint, TargetId target, long incarnation) {
    LOG.warn(
        "engine_crashed", "target", target, "incarnation", incarnation, "suspect", fingerprint);
    metrics.count("suspects.crashes");
    note(new SuspectEvent.Crashed(fingerprint, target, incarnation));
    tell(new PeerMessage.SuspectNoted(fingerprint, target.value(), incarnation, CRASHED));
  }

  private void tell(PeerMessage message) {
    others.get().forEach(peer -> peers.send(peer, message));
  }

  @Override
  public void onMessage(InstanceId from, PeerMessage message) {
    if (message instanceof PeerMessage.SuspectNoted noted) {
      note(
          noted.state().equals(CRASHED)
              ? new SuspectEvent.Crashed(
                  noted.fingerprint(), new TargetId(noted.target()), noted.targetIncarnation())
              : new SuspectEvent.Finished(noted.fingerprint()));
    }
  }
}
