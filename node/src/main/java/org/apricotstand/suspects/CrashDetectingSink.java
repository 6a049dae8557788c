package org.apricotstand.suspects;

import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.engine.EngineState;
import org.apricotstand.http.CallFailure;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Result;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;
import org.apricotstand.owner.AnswerSink;
import org.apricotstand.owner.ForwardingSink;
import org.apricotstand.suspect.SuspectEvent;

/**
 * Forwards the answer of an engine. When the connection to the engine is lost or the request times
 * out, checks whether the engine crashed before it forwards the failure. Thus the caller cannot
 * retry the request before this instance knows how it may run and has reported the crash to the
 * other instances.
 */
final class CrashDetectingSink extends ForwardingSink {

  /**
   * Pause between state queries. An engine that closes the connection before its process ends is
   * detected by the second query.
   */
  private static final long STATE_QUERY_PAUSE_MS = 150;

  private static final long STATE_TIMEOUT_MS = 800;

  /**
   * Time after which an engine that does not respond counts as crashed if its connection was lost,
   * and as running if the request only timed out.
   */
  private static final long CRASH_CHECK_TIMEOUT_MS = 2_500;

  private final SuspectService suspects;
  private final ControlThread control;
  private final EngineClient engines;
  private final TargetId target;
  private final String address;
  private final long incarnation;
  private final EngineRequest request;
  private volatile boolean begun;

  CrashDetectingSink(
      SuspectService suspects,
      ControlThread control,
      EngineClient engines,
      TargetId target,
      String address,
      long incarnation,
      EngineRequest request,
      AnswerSink sink) {
    super(sink);
    this.suspects = suspects;
    this.control = control;
    this.engines = engines;
    this.target = target;
    this.address = address;
    this.incarnation = incarnation;
    this.request = request;
  }

  @Override
  public void writePart(byte[] part) {
    begun = true;
    super.writePart(part);
  }

  @Override
  public void end() {
    control.execute(() -> suspects.recordAnswer(request));
    super.end();
  }

  @Override
  public void fail(Outcome outcome) {
    if (outcome instanceof Outcome.OutcomeUnknown(Failure failure) && mayBeCrash(failure)) {
      control.execute(() -> new CrashCheck(failure).start());
    } else {
      super.fail(outcome);
    }
  }

  private static boolean mayBeCrash(Failure failure) {
    return failure.code().equals(CallFailure.CONNECTION_LOST)
        || failure.code().equals(CallFailure.TIMEOUT)
        || failure.code().equals(CallFailure.CANCELED);
  }

  /** Checks whether the engine crashed; confined to the control thread. */
  private final class CrashCheck {
    private final Failure failure;
    private final String fingerprint = SuspectService.fingerprintOf(request);
    private final long deadlineMs = ControlThread.nowMs() + CRASH_CHECK_TIMEOUT_MS;
    private boolean seenAlive;

    CrashCheck(Failure failure) {
      this.failure = failure;
    }

    void start() {
      // The engine of a canceled request closes its connection, which is no sign of a crash.
      if (!failure.code().equals(CallFailure.CANCELED)) {
        suspects.apply(new SuspectEvent.ConnectionLost(fingerprint, target, incarnation));
      }
      queryState();
    }

    private void queryState() {
      engines
          .queryState(address, ControlThread.nowMs() + STATE_TIMEOUT_MS)
          .thenAccept(result -> control.execute(() -> onState(result)));
    }

    private void onState(Result<EngineState> result) {
      switch (result) {
        case Result.Ok<EngineState>(EngineState state) when state.incarnation() != incarnation ->
            onCrashed();
        case Result.Ok<EngineState> same when seenAlive -> onSurvived();
        case Result.Ok<EngineState> same -> {
          seenAlive = true;
          queryStateLater();
        }
        case Result.Failed<EngineState>(Failure lost)
            when lost.code().equals(CallFailure.CONNECT_FAILED) ->
            onCrashed();
        case Result.Failed<EngineState> silent when ControlThread.nowMs() < deadlineMs ->
            queryStateLater();
        case Result.Failed<EngineState> silent -> {
          if (failure.code().equals(CallFailure.CONNECTION_LOST)) {
            onCrashed();
          } else {
            onSurvived();
          }
        }
      }
    }

    private void queryStateLater() {
      control.executeAt(ControlThread.nowMs() + STATE_QUERY_PAUSE_MS, this::queryState);
    }

    private void onCrashed() {
      suspects.reportCrash(request, target, incarnation, begun);
      CrashDetectingSink.super.fail(
          new Outcome.OutcomeUnknown(
              new Failure(
                  Step.ANSWER, target.value(), SuspectCodes.ENGINE_CRASHED, failure.detail())));
    }

    private void onSurvived() {
      suspects.apply(new SuspectEvent.TargetSurvived(fingerprint, target, incarnation));
      CrashDetectingSink.super.fail(new Outcome.OutcomeUnknown(failure));
    }
  }
}
