package org.apricotstand.bench;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.ReplyControl;
import org.apricotstand.http.ReplyListener;

/**
 * Records the reply to one request as its caller receives it. Its methods are not called
 * concurrently.
 */
final class ReplyRecorder implements ReplyListener {

  /** Header in which an entry instance states the outcome of a request. */
  private static final String OUTCOME_HEADER = "x-apricotstand-outcome";

  private final long arrivalMs;
  private final CountDownLatch pendingReplies;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String outcome = "";
  private String adapterVersion = "";
  private long firstByteMs;
  private volatile RecordedReply recordedReply;

  /**
   * Reply as a caller received it. Times are monotonic.
   *
   * @param status HTTP status, or 0 if there was none
   * @param outcome outcome stated by the entry instance, or empty
   * @param adapterVersion adapter version in the header of the answer, or empty
   * @param arrivalMs time at which the request was due to be sent
   * @param firstByteMs time at which the first byte of the body arrived, or 0
   * @param endMs time at which the answer ended or failed
   * @param endedNormally whether the answer ended as HTTP requires, not by a failure
   * @param body part of the body that arrived
   */
  record RecordedReply(
      int status,
      String outcome,
      String adapterVersion,
      long arrivalMs,
      long firstByteMs,
      long endMs,
      boolean endedNormally,
      String body) {}

  ReplyRecorder(long arrivalMs, CountDownLatch pendingReplies) {
    this.arrivalMs = arrivalMs;
    this.pendingReplies = pendingReplies;
  }

  /** Returns the recorded reply, or null while the answer is in progress. */
  RecordedReply recordedReply() {
    return recordedReply;
  }

  @Override
  public void onHead(int answerStatus, HttpHeaders headers, ReplyControl control) {
    status = answerStatus;
    outcome = headers.get(OUTCOME_HEADER, "");
    adapterVersion = headers.get("x-adapter-version", "");
  }

  @Override
  public void onPart(byte[] part) {
    if (firstByteMs == 0) {
      firstByteMs = ControlThread.nowMs();
    }
    body.writeBytes(part);
  }

  @Override
  public void onEnd() {
    finish(true);
  }

  @Override
  public void onFailure(CallFailure failure) {
    finish(false);
  }

  private void finish(boolean endedNormally) {
    if (recordedReply == null) {
      recordedReply =
          new RecordedReply(
              status,
              outcome,
              adapterVersion,
              arrivalMs,
              firstByteMs,
              ControlThread.nowMs(),
              endedNormally,
              body.toString(StandardCharsets.UTF_8));
      pendingReplies.countDown();
    }
  }
}
