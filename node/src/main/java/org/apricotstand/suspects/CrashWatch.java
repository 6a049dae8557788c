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
 * Passes the answer of an engine on. When the connection to the engine is lost, it finds out
 * whether the engine crashed, and passes the failure on after that. So the caller cannot send the
 * request again before this instance knows how it may run, and the others have been told.
 */
final class CrashWatch extends ForwardingSink {

  /** An engine that closed the connection first and ends later is seen by the second question. */
  private static final long CONFIRM_PAUSE_MS = 150;

  private static final long STATE_TIMEOUT_MS = 800;

  /** An engine that gives no sign for this long counts as crashed. */
  private static final long SETTLE_LIMIT_MS = 2_500;

  private final SuspectService suspects;
  private final ControlThread control;
  private final EngineClient engines;
  private final TargetId target;
  private final String address;
  private final long incarnation;
  private final EngineRequest request;

  CrashWatch(
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
  public void failed(Outcome outcome) {
    if (outcome instanceof Outcome.OutcomeUnknown(Failure failure) && isLoss(failure)) {
      control.execute(() -> new Settlement(failure).begin());
    } else {
      super.failed(outcome);
    }
  }

  private static boolean isLoss(Failure failure) {
    return failure.code().equals(CallFailure.CONNECTION_LOST)
        || failure.code().equals(CallFailure.TIMEOUT);
  }

  /** Finds out whether the engine crashed; confined to the control thread. */
  private final class Settlement {
    private final Failure failure;
    private final String fingerprint = SuspectService.fingerprintOf(request);
    private final long limitMs = ControlThread.nowMs() + SETTLE_LIMIT_MS;
    private boolean confirmed;

    Settlement(Failure failure) {
      this.failure = failure;
    }

    void begin() {
      suspects.note(new SuspectEvent.ConnectionLost(fingerprint, target, incarnation));
      ask();
    }

    private void ask() {
      engines
          .state(address, ControlThread.nowMs() + STATE_TIMEOUT_MS)
          .thenAccept(result -> control.execute(() -> answered(result)));
    }

    private void answered(Result<EngineState> result) {
      switch (result) {
        case Result.Ok<EngineState>(EngineState state) when state.incarnation() != incarnation ->
            crashed();
        case Result.Ok<EngineState> same when confirmed -> survived();
        case Result.Ok<EngineState> same -> {
          confirmed = true;
          askLater();
        }
        case Result.Failed<EngineState>(Failure lost)
            when lost.code().equals(CallFailure.CONNECT_FAILED) ->
            crashed();
        case Result.Failed<EngineState> silent when ControlThread.nowMs() < limitMs -> askLater();
        case Result.Failed<EngineState> silent -> {
          if (failure.code().equals(CallFailure.CONNECTION_LOST)) {
            crashed();
          } else {
            survived();
          }
        }
      }
    }

    private void askLater() {
      control.executeAt(ControlThread.nowMs() + CONFIRM_PAUSE_MS, this::ask);
    }

    private void crashed() {
      suspects.crashed(fingerprint, target, incarnation);
      CrashWatch.super.failed(
          new Outcome.OutcomeUnknown(
              new Failure(
                  Step.ANSWER, target.value(), SuspectCodes.ENGINE_CRASHED, failure.detail())));
    }

    private void survived() {
      suspects.note(new SuspectEvent.Survived(fingerprint, target, incarnation));
      CrashWatch.super.failed(new Outcome.OutcomeUnknown(failure));
    }
  }
}
