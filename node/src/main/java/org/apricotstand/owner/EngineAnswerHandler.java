package org.apricotstand.owner;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.engine.EngineRequest;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.ReplyControl;
import org.apricotstand.http.ReplyListener;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Outcome;
import org.apricotstand.model.Step;
import org.apricotstand.model.TargetId;

/**
 * Forwards an engine's answer to a sink, provided that the engine echoes the requested adapter
 * version. If the connection breaks during a stream of server-sent events, the stream is resumed
 * once, after the last whole event that the sink received. Runs on a traffic thread.
 */
final class EngineAnswerHandler implements ReplyListener {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final String ADAPTER_NOT_LOADED = "adapter_not_loaded";
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MAX_ERROR_BYTES = 65_536;

  private final TargetId target;
  private final EngineRequest request;
  private final AnswerSink sink;
  private final EndListener endListener;
  private final StreamResumer streamResumer;
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private int status;
  private boolean forwarding;
  private boolean resumed;
  private boolean ended;
  private TokenEventSplitter splitter;
  private Outcome resumeFailureOutcome;
  private volatile boolean canceled;
  private volatile boolean resumeDisabled;
  private volatile ReplyControl control;

  /** Listener for the end of a request; exactly one method is called, once. */
  interface EndListener {

    /** The engine no longer runs the request, and the sink has received its outcome. */
    void onFinished();

    /** The sink has received the outcome, but the engine may still run the request. */
    void onPossiblyRunning();

    /**
     * The engine refused the request because its adapter is not loaded; the sink has no outcome.
     */
    void onAdapterNotLoaded(Failure failure);
  }

  /** Requests the rest of a broken stream from the engine. */
  interface StreamResumer {

    /**
     * Requests the rest of the stream, or reports a failure to the listener immediately.
     *
     * @param fromToken index of the first missing token
     * @param listener receives the rest of the stream
     */
    void resume(long fromToken, ReplyListener listener);
  }

  EngineAnswerHandler(
      TargetId target,
      EngineRequest request,
      AnswerSink sink,
      EndListener endListener,
      StreamResumer streamResumer) {
    this.target = target;
    this.request = request;
    this.sink = sink;
    this.endListener = endListener;
    this.streamResumer = streamResumer;
  }

  @Override
  public void onHead(int answerStatus, HttpHeaders headers, ReplyControl replyControl) {
    status = answerStatus;
    control = replyControl;
    forwarding = false;
    String requestId = request.scheduled().id().value();
    String answeredId = headers.get(EngineHeaders.REQUEST_ID, requestId);
    if (!requestId.equals(answeredId)) {
      giveUp(outcomeUnknown("other_request", "the answer belongs to request " + answeredId));
      return;
    }
    if (status != OK) {
      return;
    }
    String requested = request.scheduled().adapterVersion().toString();
    String echoed = headers.get(EngineHeaders.ADAPTER_VERSION);
    if (!requested.equals(echoed)) {
      giveUp(
          outcomeUnknown(
              "wrong_adapter_version", "requested " + requested + ", answered by " + echoed));
      return;
    }
    boolean hasEvents = headers.get("content-type", "").startsWith(EVENT_STREAM);
    if (resumed && !hasEvents) {
      giveUp(resumeFailureOutcome);
      return;
    }
    forwarding = true;
    sink.setWritableListener(control::resume);
    if (resumed) {
      return;
    }
    if (hasEvents) {
      splitter = new TokenEventSplitter();
    }
    Map<String, String> forwardedHeaders = new LinkedHashMap<>();
    forwardedHeaders.put("content-type", headers.get("content-type", "application/json"));
    forwardedHeaders.put(EngineHeaders.ADAPTER_VERSION, echoed);
    sink.writeHead(status, forwardedHeaders);
  }

  @Override
  public void onPart(byte[] part) {
    if (forwarding) {
      byte[] forwardable = splitter == null ? part : splitter.feed(part);
      if (forwardable.length > 0) {
        sink.writePart(forwardable);
      }
      if (splitter != null && splitter.hasForeignEvent()) {
        forwarding = false;
        giveUp(outcomeUnknown("answer_incomplete", "bytes that are no event in the stream"));
      } else if (splitter != null && splitter.hasOverlongEvent()) {
        forwarding = false;
        giveUp(outcomeUnknown("answer_incomplete", "an event without end"));
      } else if (!sink.isWritable()) {
        control.suspend();
      }
    } else if (errorBody.size() < MAX_ERROR_BYTES) {
      errorBody.writeBytes(part);
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    if (forwarding && splitter != null && !splitter.isDone()) {
      String detail = "the stream ended before its last event";
      failPossiblyRunning(outcomeUnknown("answer_incomplete", detail));
      return;
    }
    if (forwarding) {
      ended = true;
      sink.end();
      endListener.onFinished();
      return;
    }
    if (resumed) {
      failPossiblyRunning(resumeFailureOutcome);
      return;
    }
    String body = errorBody.toString(StandardCharsets.UTF_8);
    if (status != CONFLICT) {
      fail(outcomeUnknown("engine_status_" + status, body));
      return;
    }
    // Engines answer 409 only before they run any part of the request.
    Failure failure = new Failure(Step.DISPATCH, target.value(), "refused", body);
    if (body.contains(ADAPTER_NOT_LOADED)) {
      ended = true;
      endListener.onAdapterNotLoaded(failure);
    } else {
      fail(new Outcome.NotRun(failure));
    }
  }

  /** Disables the resumption of a broken stream, because the caller has canceled the request. */
  void disableResume() {
    canceled = true;
    resumeDisabled = true;
  }

  /**
   * Disables the resumption of the stream and closes the connection if the engine has started to
   * answer. Called when the engine no longer runs the request.
   */
  void disconnect() {
    resumeDisabled = true;
    ReplyControl currentControl = control;
    if (currentControl != null) {
      currentControl.cancel();
    }
  }

  @Override
  public void onFailure(CallFailure failure) {
    if (ended) {
      return;
    }
    if (canceled && failure.maybeSent()) {
      failPossiblyRunning(outcomeUnknown(CallFailure.CANCELED, failure.detail()));
    } else if (resumed) {
      failPossiblyRunning(resumeFailureOutcome);
    } else if (splitter != null && !resumeDisabled) {
      resumed = true;
      resumeFailureOutcome = outcomeUnknown(failure.code(), failure.detail());
      splitter.dropIncomplete();
      streamResumer.resume(splitter.tokenCount(), this);
    } else if (failure.maybeSent()) {
      failPossiblyRunning(outcomeUnknown(failure.code(), failure.detail()));
    } else {
      fail(
          new Outcome.NotRun(
              new Failure(Step.DISPATCH, target.value(), failure.code(), failure.detail())));
    }
  }

  /**
   * Closes the connection of an answer that cannot be forwarded; the engine may run the request.
   */
  private void giveUp(Outcome outcome) {
    failPossiblyRunning(outcome);
    control.cancel();
  }

  private void failPossiblyRunning(Outcome outcome) {
    if (!ended) {
      ended = true;
      sink.fail(outcome);
      endListener.onPossiblyRunning();
    }
  }

  private Outcome outcomeUnknown(String code, String detail) {
    return new Outcome.OutcomeUnknown(new Failure(Step.ANSWER, target.value(), code, detail));
  }

  private void fail(Outcome outcome) {
    if (!ended) {
      ended = true;
      sink.fail(outcome);
      endListener.onFinished();
    }
  }
}
