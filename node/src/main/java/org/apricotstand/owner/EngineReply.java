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
 * Passes an engine's answer to a sink after it has checked the adapter version that the engine
 * echoes. A stream of events that breaks off is resumed once, after the last whole event that the
 * sink got. Runs on a traffic thread.
 */
final class EngineReply implements ReplyListener {

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final String NOT_LOADED = "adapter_not_loaded";
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int MAX_ERROR_BYTES = 65_536;

  private final TargetId target;
  private final EngineRequest request;
  private final AnswerSink sink;
  private final Ending ending;
  private final Resumption resumption;
  private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
  private int status;
  private boolean passing;
  private boolean resumed;
  private boolean ended;
  private EventFramer framer;
  private Outcome broken;
  private volatile boolean unwanted;
  private volatile ReplyControl control;

  /** Learns how the exchange with the engine ended; exactly one method is called, last. */
  interface Ending {

    /** The engine no longer runs the request, and the sink has its outcome. */
    void finished();

    /** The sink has its outcome, but the engine may still run the request. */
    void broken();

    /** The engine ran nothing since the adapter is not loaded; the sink has no outcome yet. */
    void notLoaded(Failure failure);
  }

  /** Asks the engine for the rest of a stream. */
  interface Resumption {

    /**
     * Sends the request for the rest to the engine, or reports a failure at once.
     *
     * @param fromToken index of the first token that is missing
     */
    void resume(long fromToken, ReplyListener rest);
  }

  EngineReply(
      TargetId target,
      EngineRequest request,
      AnswerSink sink,
      Ending ending,
      Resumption resumption) {
    this.target = target;
    this.request = request;
    this.sink = sink;
    this.ending = ending;
    this.resumption = resumption;
  }

  @Override
  public void onHead(int answerStatus, HttpHeaders headers, ReplyControl replyControl) {
    status = answerStatus;
    control = replyControl;
    if (status != OK) {
      passing = false;
      return;
    }
    String wanted = request.scheduled().adapterVersion().toString();
    String echoed = headers.get(EngineHeaders.ADAPTER_VERSION);
    if (!wanted.equals(echoed)) {
      failBroken(unknown("wrong_adapter_version", "wanted " + wanted + ", answered by " + echoed));
      control.cancel();
      return;
    }
    passing = true;
    sink.onReady(control::resume);
    if (resumed) {
      return;
    }
    if (headers.get("content-type", "").startsWith(EVENT_STREAM)) {
      framer = new EventFramer();
    }
    Map<String, String> kept = new LinkedHashMap<>();
    kept.put("content-type", headers.get("content-type", "application/json"));
    kept.put(EngineHeaders.ADAPTER_VERSION, echoed);
    sink.head(status, kept);
  }

  @Override
  public void onPart(byte[] part) {
    if (passing) {
      byte[] whole = framer == null ? part : framer.feed(part);
      if (whole.length > 0) {
        sink.part(whole);
      }
      if (!sink.isReady()) {
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
    if (passing && framer != null && !framer.isDone()) {
      String detail = "the stream ended before its last event";
      failBroken(unknown("answer_incomplete", detail));
      return;
    }
    if (passing) {
      ended = true;
      sink.end();
      ending.finished();
      return;
    }
    if (resumed) {
      failBroken(broken);
      return;
    }
    String body = errorBody.toString(StandardCharsets.UTF_8);
    if (status != CONFLICT) {
      fail(unknown("engine_status_" + status, body));
      return;
    }
    // The engine's contract: it refuses with 409 before it runs any part of the request.
    Failure failure = new Failure(Step.DISPATCH, target.value(), "refused", body);
    if (body.contains(NOT_LOADED)) {
      ended = true;
      ending.notLoaded(failure);
    } else {
      fail(new Outcome.NotRun(failure));
    }
  }

  /** Keeps a stream that breaks off from being resumed; nobody wants its rest. */
  void forgoResumption() {
    unwanted = true;
  }

  /** Breaks the connection to an engine that no longer runs the request, once it has answered. */
  void abandon() {
    unwanted = true;
    ReplyControl open = control;
    if (open != null) {
      open.cancel();
    }
  }

  @Override
  public void onFailure(CallFailure failure) {
    if (ended) {
      return;
    }
    if (resumed) {
      failBroken(broken);
    } else if (framer != null && !unwanted) {
      resumed = true;
      broken = unknown(failure.code(), failure.detail());
      framer.dropIncomplete();
      resumption.resume(framer.tokenCount(), this);
    } else if (failure.maybeSent()) {
      failBroken(unknown(failure.code(), failure.detail()));
    } else {
      fail(
          new Outcome.NotRun(
              new Failure(Step.DISPATCH, target.value(), failure.code(), failure.detail())));
    }
  }

  private void failBroken(Outcome outcome) {
    if (!ended) {
      ended = true;
      sink.failed(outcome);
      ending.broken();
    }
  }

  private Outcome unknown(String code, String detail) {
    return new Outcome.OutcomeUnknown(new Failure(Step.ANSWER, target.value(), code, detail));
  }

  private void fail(Outcome outcome) {
    if (!ended) {
      ended = true;
      sink.failed(outcome);
      ending.finished();
    }
  }
}
