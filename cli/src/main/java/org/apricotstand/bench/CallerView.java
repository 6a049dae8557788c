package org.apricotstand.bench;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.CallFailure;
import org.apricotstand.http.ReplyControl;
import org.apricotstand.http.ReplyListener;

/** Collects what the caller of one request sees. Calls come one at a time. */
final class CallerView implements ReplyListener {

  /** Outcome header of the product's answers. */
  private static final String OUTCOME = "x-apricotstand-outcome";

  private final long arrivedMs;
  private final CountDownLatch open;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String outcome = "";
  private String adapterVersion = "";
  private long firstByteMs;
  private volatile Seen seen;

  /**
   * What a caller saw.
   *
   * @param status HTTP status, or 0 when there was none
   * @param outcome outcome that the product stated, or empty
   * @param adapterVersion adapter version that the answer names, or empty
   * @param arrivedMs when the request was sent, monotonic
   * @param firstByteMs when the first byte of the body came, or 0
   * @param endedMs when the answer ended or broke
   * @param ended whether the answer ended as HTTP prescribes
   * @param body body as far as it came
   */
  record Seen(
      int status,
      String outcome,
      String adapterVersion,
      long arrivedMs,
      long firstByteMs,
      long endedMs,
      boolean ended,
      String body) {}

  CallerView(long arrivedMs, CountDownLatch open) {
    this.arrivedMs = arrivedMs;
    this.open = open;
  }

  /** Returns what the caller saw; null while the answer is open. */
  Seen seen() {
    return seen;
  }

  @Override
  public void onHead(int answerStatus, HttpHeaders headers, ReplyControl control) {
    status = answerStatus;
    outcome = headers.get(OUTCOME, "");
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

  private void finish(boolean ended) {
    if (seen == null) {
      seen =
          new Seen(
              status,
              outcome,
              adapterVersion,
              arrivedMs,
              firstByteMs,
              ControlThread.nowMs(),
              ended,
              body.toString(StandardCharsets.UTF_8));
      open.countDown();
    }
  }
}
