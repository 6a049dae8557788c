package org.apricotstand.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Map;
import java.util.Optional;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.dispatch.TargetSpeeds;
import org.apricotstand.limit.MemoryBudget;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.apricotstand.upstream.AnswerListener;
import org.apricotstand.upstream.SendFailure;
import org.apricotstand.upstream.TargetConnection;

/** One attempt to run the request at one target. */
final class Attempt implements AnswerListener, MemoryHolder {

  /**
   * Time without a crash after the first byte of an answer, after which the request did not cause
   * one.
   */
  private static final long CRASH_AFTER_FIRST_BYTE_MS = 250;

  private final RequestFlow flow;
  private final RequestRouter router;
  private final TargetEntry target;
  private final long sentMs = ControlThread.nowMs();

  /** Other requests at the target when this one was sent; empty if its time is not recorded. */
  private final Optional<TargetLoad> loadWhenSent;

  private final AnswerBody body;
  private final MemoryBudget<MemoryHolder>.Account account;
  private TargetConnection connection;
  private AnswerHead head;
  private boolean discardAnswer;
  private boolean continuation;
  private boolean retryGranted;
  private boolean firstByteReceived;
  private long confirmAnswerMs;
  private long heldHeadBytes;
  private ScheduledFuture<?> headTimer;
  private ScheduledFuture<?> hedgeTimer;
  private boolean answerConfirmed;
  private boolean closed;

  /**
   * Creates an attempt that is not sent.
   *
   * @param eventSplitter splits the stream that the caller gets; null if it cannot be resumed
   */
  Attempt(RequestFlow flow, RequestRouter router, TargetEntry target, EventSplitter eventSplitter) {
    this.flow = flow;
    this.router = router;
    this.target = target;
    this.loadWhenSent = router.loadIfTimed(target);
    this.body = new AnswerBody(router.answerLimits(), eventSplitter);
    this.account = router.memory().open(this, target.incarnation());
  }

  TargetEntry target() {
    return target;
  }

  boolean isClosed() {
    return closed;
  }

  /** Returns whether there was a connection to send the request on. */
  boolean isSent() {
    return connection != null;
  }

  boolean hasHead() {
    return head != null;
  }

  boolean isSuccess() {
    return head != null && head.isSignedSuccess();
  }

  /** Returns the time since the request was sent. */
  long ageMs() {
    return ControlThread.nowMs() - sentMs;
  }

  boolean hasFirstByte() {
    return firstByteReceived;
  }

  /** Returns whether the target has answered for so long that the request did not crash it. */
  boolean isAnswerConfirmed() {
    return answerConfirmed;
  }

  void resumeReading() {
    if (connection != null) {
      connection.setReading(true);
    }
  }

  boolean onConnected(TargetConnection newConnection) {
    if (closed) {
      return false;
    }
    connection = newConnection;
    return true;
  }

  void cancel() {
    close();
    if (connection != null) {
      connection.cancel();
    }
  }

  /** Cancels this attempt because its target did not answer in time. */
  void cancelAsLate() {
    cancel();
    recordTimeOut();
  }

  /** Records that the target did not answer in time, which may be because it has crashed. */
  void recordTimeOut() {
    if (isSent() && !firstByteReceived) {
      router.crashWatch().onAttemptTimedOut(target, flow.traits());
    }
  }

  private void close() {
    if (!closed) {
      closed = true;
      flow.onAttemptClosed(this);
      account.close();
      cancelTimers();
      router.loadTracker().recordEnd(target.id(), flow.adapter(), firstByteReceived);
    }
  }

  /** Sets the timer of the head of the answer, which ends with the attempt. */
  void setHeadTimer(ScheduledFuture<?> timer) {
    headTimer = timer;
    if (closed) {
      cancelTimers();
    }
  }

  /** Sets the timer of the hedge of this attempt, which ends with the attempt. */
  void setHedgeTimer(ScheduledFuture<?> timer) {
    hedgeTimer = timer;
  }

  /** Cancels the timers, which would keep the request and its body until they end. */
  private void cancelTimers() {
    if (headTimer != null) {
      headTimer.cancel(false);
    }
    if (hedgeTimer != null) {
      hedgeTimer.cancel(false);
    }
  }

  @Override
  public void onHead(HttpResponse answer) {
    head = new AnswerHead(answer, router.headerNames());
    accountForHead(answer);
    if (closed) {
      return;
    }
    router.pacer().onAnswer(target, head, sentMs);
    if (head.isUnsignedSuccess()) {
      giveUp("success without signature");
      return;
    }
    if (flow.isHedged() && !head.isSignedSuccess()) {
      leaveToOther();
      return;
    }
    retryGranted = !head.isNotExecuted() && head.isFailure() && flow.tryTakeRetry();
    discardAnswer = head.isNotExecuted() || retryGranted;
    if (discardAnswer) {
      connection.closeAfterAnswer();
      return;
    }
    flow.onAnswerChosen(this);
    if (flow.isAnswerStarted()) {
      continueAnswer();
    } else if (isPassedOn()) {
      flow.startAnswer(answer);
    }
  }

  /** Accounts for the head of an answer, which is held until the answer is complete. */
  private void accountForHead(HttpResponse answer) {
    for (Map.Entry<String, String> line : answer.headers()) {
      heldHeadBytes += MemoryBudget.headerLineBytes(line.getKey(), line.getValue());
    }
    account.update(Kind.ANSWER, heldHeadBytes, ControlThread.nowMs());
    router.memory().releaseExcess();
  }

  /** Ends this attempt, whose answer is no success, while the other one is in flight. */
  private void leaveToOther() {
    cancel();
    if (head.isNotExecuted()) {
      flow.onRejected(this, head.status());
    } else {
      flow.onAnswerRejected(this, head.isFailure());
    }
  }

  /**
   * Takes the answer as the rest of the stream that the caller has, unless it is something else.
   */
  private void continueAnswer() {
    if (!isStreamed()) {
      discardAnswer = true;
      connection.closeAfterAnswer();
    } else if (head.isOfSameKind(flow.answerHead())) {
      continuation = true;
      body.beginContinuation();
    } else {
      giveUp("answer of another kind than the stream");
    }
  }

  @Override
  public void giveUp(Kind kind, String reason) {
    giveUp(reason);
  }

  /** Closes the connection of an answer that cannot be passed on; the request may have run. */
  private void giveUp(String reason) {
    TargetConnection brokenConnection = connection;
    onFailure(new SendFailure.Malformed(reason));
    brokenConnection.cancel();
  }

  private boolean isStreamed() {
    return flow.isStream() && head.status() == 200;
  }

  /**
   * Returns whether the answer is passed on as it arrives. A caller that does not understand chunks
   * gets it when it is complete, with its length: otherwise nothing would show that it is cut off.
   */
  private boolean isPassedOn() {
    return isStreamed() && flow.request().acceptsChunks();
  }

  @Override
  public void onPart(ByteBuf part) {
    if (!firstByteReceived) {
      firstByteReceived = true;
      flow.onFirstByte();
      confirmAnswerMs = ControlThread.nowMs() + CRASH_AFTER_FIRST_BYTE_MS;
      router.loadTracker().recordFirstByte(target.id());
      if (isStreamed() && head.isSignedSuccess() && !continuation) {
        loadWhenSent.ifPresent(this::recordTime);
      }
    } else if (ControlThread.nowMs() >= confirmAnswerMs) {
      confirmAnswer();
    }
    ByteBuf passedOn = body.add(part, use());
    if (passedOn.isReadable()) {
      flow.reply().writePart(passedOn);
    }
    passedOn.release();
    if (closed) {
      return;
    }
    if (body.isDiscontinued()) {
      giveUp("event that does not continue the stream");
    } else if (use() == AnswerBody.Use.EVENTS && body.hasForeignLine()) {
      giveUp("bytes that are no event in a stream of events");
    } else if (body.exceedsLimits()) {
      giveUp("answer without end");
    }
  }

  @Override
  public void onReadComplete() {
    flow.reply().flush();
    if (closed) {
      return;
    }
    long heldBytes = heldHeadBytes + body.heldBytes() + connection.heldInputBytes();
    account.update(Kind.ANSWER, heldBytes, ControlThread.nowMs());
    router.memory().releaseExcess();
    if (!closed && flow.isAnswerStarted() && !flow.reply().isWritable()) {
      connection.setReading(false);
    }
  }

  /**
   * Records the time to the first byte of a stream or to the end of another answer. Answers of
   * engines that are not streamed are not recorded: their time depends on their length.
   */
  private void recordTime(TargetLoad load) {
    int slots = target.maxConcurrentRequests();
    long timeMs =
        flow.adapter() == null
            ? TargetSpeeds.plainTimeMs(ageMs(), load, slots)
            : TargetSpeeds.engineTimeMs(ageMs(), load, slots);
    router.loadTracker().recordAnswerTime(target.id(), timeMs);
  }

  /** Clears the traits of the request, since the target answers it and has not crashed. */
  private void confirmAnswer() {
    if (!answerConfirmed) {
      answerConfirmed = true;
      router.crashWatch().onAnswer(flow.traits());
    }
  }

  private AnswerBody.Use use() {
    if (discardAnswer) {
      return AnswerBody.Use.DISCARD;
    }
    if (!isStreamed()) {
      return AnswerBody.Use.BUFFER;
    }
    if (!isPassedOn()) {
      return AnswerBody.Use.BUFFER_EVENTS;
    }
    return head.declaresEvents() ? AnswerBody.Use.EVENTS : AnswerBody.Use.STREAM;
  }

  @Override
  public void onEnd() {
    flow.guard(this::end);
  }

  private void end() {
    if (closed) {
      return;
    }
    if (isBrokenOff()) {
      onFailure(new SendFailure.ConnectionLost("ended_inside_stream"));
      return;
    }
    if (isEndedByClose()) {
      onFailure(new SendFailure.ConnectionLost("closed_behind_head"));
      return;
    }
    if (continuation && !body.isContinuation()) {
      // The run may have ended behind the last event, or the target sends nothing of it.
      onFailure(new SendFailure.Malformed("continuation without whole events"));
      return;
    }
    close();
    if (discardAnswer) {
      onDiscardedAnswer();
      return;
    }
    long nowMs = ControlThread.nowMs();
    if (head.isFailure()) {
      router.health().recordFailure(target.id(), nowMs);
    } else {
      router.health().recordSuccess(target.id(), nowMs);
      confirmAnswer();
      if (!isStreamed() && flow.adapter() == null && head.isSignedSuccess()) {
        loadWhenSent.ifPresent(this::recordTime);
      }
    }
    flow.onAnswered(head.status());
    ByteBuf rest = body.takeRest();
    if (!isPassedOn()) {
      // The whole body is buffered, so it is sent with its length, however the target framed it.
      HttpHeaders headers = head.response().headers();
      if (!head.isBodiless()) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bodyLength(rest.readableBytes()));
      }
      headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
      flow.reply().writeHead(head.response());
    }
    if (rest.isReadable()) {
      flow.reply().writePart(rest);
    }
    flow.reply().end();
  }

  private boolean isBrokenOff() {
    return !discardAnswer
        && isStreamed()
        && head.hasEvents()
        && !isHeadRequest()
        && body.isBrokenOff(head.endsWithConnection());
  }

  /**
   * Returns whether a success has neither a length nor a body. A target that has nothing to send
   * says so by its length; without one the head is not whole, or the target closed behind it.
   */
  private boolean isEndedByClose() {
    return !firstByteReceived
        && !discardAnswer
        && head.isSignedSuccess()
        && head.endsWithConnection()
        && !isHeadRequest();
  }

  private boolean isHeadRequest() {
    return HttpMethod.HEAD.equals(flow.request().method());
  }

  private String bodyLength(int receivedBytes) {
    String declared = head.response().headers().get(HttpHeaderNames.CONTENT_LENGTH);
    return isHeadRequest() && declared != null ? declared : Integer.toString(receivedBytes);
  }

  private void onDiscardedAnswer() {
    if (head.isNotExecuted()) {
      flow.onRejected(this, head.status());
      return;
    }
    flow.onAnswerDiscarded(target, retryGranted);
  }

  @Override
  public void onFailure(SendFailure failure) {
    flow.guard(() -> fail(failure));
  }

  private void fail(SendFailure failure) {
    if (closed) {
      return;
    }
    // The caller has them before another target continues the stream.
    flow.reply().flush();
    close();
    if (discardAnswer && head.isNotExecuted()) {
      flow.onRejected(this, head.status());
    } else {
      flow.onAttemptLost(this, failure, false);
    }
  }
}
