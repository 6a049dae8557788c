package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.input.InputGate;
import org.apricotstand.limit.MemoryBudget;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.route.CallerLimits;

/**
 * Reads the requests of one caller connection and answers them in order. While a request is in
 * progress, up to {@value #MAX_PIPELINED_REQUESTS} further ones are queued; what arrives beyond
 * that is read and discarded, and the connection is closed after their answers. Requests wait while
 * answers to those before them have not left, so that a caller that reads nothing costs one answer.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject>
    implements MemoryHolder {

  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Time in which a caller that has been refused may go on sending. */
  private static final long MAX_CLOSE_MS = 1_000;

  /** Promises nothing about the run of the request. */
  private static final int BAD_GATEWAY = 502;

  /** Memory of a request besides its header lines and its body. */
  private static final int REQUEST_BYTES = 2_048;

  private final CallerServer server;
  private final InputGate gate;
  private final MemoryBudget<MemoryHolder>.Account account;
  private final Queue<PipelinedRequest> pipelinedRequests = new ArrayDeque<>();
  private final ByteCollector body = new ByteCollector();
  private RequestDecoder decoder;
  private Channel channel;
  private HttpRequest head;
  private boolean ignoringInput;
  private Refusal pendingRefusal;
  private long firstByteMs;
  private long bodySinceMs;
  private long bodyProgressMs;
  private long queuedBytes;
  private long accountedOutputBytes;
  private CallReply reply;
  private long idleSinceMs = ControlThread.nowMs();
  private ChannelFuture lastWrite;
  private long lastUnsentBytes;

  /** Refusal of an unreadable request, which waits for the answers to the requests before it. */
  private record Refusal(int status, String code) {}

  private record PipelinedRequest(CallerRequest request, boolean keepAlive, long heldBytes) {}

  CallerConnection(CallerServer server, InputGate gate, RequestDecoder decoder) {
    this.server = server;
    this.gate = gate;
    this.decoder = decoder;
    this.account = server.memory().open(this, "");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Records when the first byte of a request arrived; called before the bytes are decoded. */
  void recordFirstByte() {
    if (firstByteMs == 0) {
      firstByteMs = ControlThread.nowMs();
      server.onConnectionBusy(this);
    }
  }

  /** Returns whether bytes that arrive are dropped, since no further request is served. */
  boolean isIgnoringInput() {
    return ignoringInput;
  }

  /** Accounts for what is held of the requests that arrive. */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    long nowMs = ControlThread.nowMs();
    if (ignoringInput) {
      accountForNoInput();
    } else {
      // The part of a request that arrives in one read with the end of the one before it.
      if (decoder.isInsideMessage()) {
        recordFirstByte();
      }
      account.update(Kind.HEAD, heldHeadBytes(), nowMs);
      account.update(Kind.BODY, heldBodyBytes(), nowMs);
    }
    account.update(Kind.QUEUED, queuedBytes, nowMs);
    server.memory().releaseExcess();
  }

  /** Returns the memory of the head or the part of it that the decoder holds. */
  long heldHeadBytes() {
    return decoder == null ? 0 : decoder.heldHeaderBytes() + decoder.heldRawBytes();
  }

  /** Returns the bytes of the body that arrives, as far as they were decoded. */
  int receivedBodyBytes() {
    return body.size();
  }

  /** Returns the memory of the body that arrives, and of bytes that wait to be decoded. */
  long heldBodyBytes() {
    return body.heldBytes() + gate.heldBytes();
  }

  /** Accounts for what the caller has not taken of its answers. */
  void onOutputChanged() {
    accountForOutput();
    server.memory().releaseExcess();
  }

  private void accountForOutput() {
    accountedOutputBytes = channel.isActive() ? unsentBytes() : 0;
    account.update(Kind.OUTPUT, accountedOutputBytes, ControlThread.nowMs());
  }

  @Override
  public void giveUp(Kind kind, String reason) {
    switch (kind) {
      case HEAD, BODY -> refuse(503, reason);
      case QUEUED -> {
        dropQueuedRequests();
        refuse(503, reason);
      }
      case OUTPUT -> giveUpOutput();
      default -> throw new IllegalArgumentException("not given up here: " + kind);
    }
  }

  /** Resets the connection, unless its caller has read since its output was accounted for. */
  private void giveUpOutput() {
    if (unsentBytes() < accountedOutputBytes) {
      accountForOutput();
    } else {
      reset();
    }
  }

  private void dropQueuedRequests() {
    pipelinedRequests.clear();
    queuedBytes = 0;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (ignoringInput) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      boolean tooLong = message.decoderResult().cause() instanceof TooLongHttpHeaderException;
      refuse(tooLong ? 431 : 400, tooLong ? "headers_too_large" : "malformed_request");
      return;
    }
    if (message instanceof HttpRequest request) {
      readHead(request);
    }
    if (message instanceof HttpContent content && !ignoringInput) {
      readBody(content);
    }
  }

  private void readHead(HttpRequest request) {
    head = request;
    body.clear();
    bodySinceMs = ControlThread.nowMs();
    bodyProgressMs = bodySinceMs;
    // A pipelined request can arrive in the same read as the one before it; no other call records
    // its first byte then.
    recordFirstByte();
    Optional<String> reason = RequestValidator.rejectionReason(request);
    if (reason.isPresent()) {
      refuse(400, "malformed_" + reason.get());
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      refuse(413, "body_too_large");
    } else if (!isBusy()) {
      continueIfExpected();
    }
  }

  /** Returns whether an answer is in progress or requests wait for those before them. */
  private boolean isBusy() {
    return reply != null || !pipelinedRequests.isEmpty();
  }

  /** Tells the caller to send the body of the request whose head was read, if it waits for that. */
  private void continueIfExpected() {
    if (HttpUtil.is100ContinueExpected(head) && body.size() == 0) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void readBody(HttpContent content) {
    ByteBuf part = content.content();
    if (receivedBodyBytes() + part.readableBytes() > server.limits().maxBodyBytes()) {
      refuse(413, "body_too_large");
      return;
    }
    if (part.isReadable()) {
      body.add(part);
      bodyProgressMs = ControlThread.nowMs();
    }
    if (content instanceof LastHttpContent) {
      completeRequest();
    }
  }

  private void completeRequest() {
    long heldBytes = REQUEST_BYTES + decoder.heldHeaderBytes() + body.size();
    decoder.onMessageEnded();
    accountForNoInput();
    CallerRequest request =
        new CallerRequest(
            head.method(),
            head.uri(),
            head.headers(),
            body.takeArray(),
            head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0,
            ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress(),
            firstByteMs);
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    head = null;
    firstByteMs = 0;
    PipelinedRequest complete = new PipelinedRequest(request, keepAlive, heldBytes);
    if (!isBusy() && channel.isWritable()) {
      serve(complete);
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(complete);
      queuedBytes += heldBytes;
    } else {
      ignoreInput();
    }
  }

  private void serve(PipelinedRequest next) {
    reply = new CallReply(this, channel, next.request, next.keepAlive);
    server.onRequestStarted();
    CallReply current = reply;
    if (!server.memory().canRun(next.heldBytes)) {
      server.memory().recordRejection("running");
      current.fail(503, MemoryLimiter.MEMORY_SHORT, MemoryLimiter.RETRY_MS);
      return;
    }
    account.update(Kind.RUNNING, next.heldBytes, ControlThread.nowMs());
    try {
      current.setCall(server.handler().handle(next.request, current));
    } catch (RuntimeException e) {
      server.recordFailedHandling(e);
      current.failOrAbort(BAD_GATEWAY, "internal_error");
    }
  }

  /**
   * Refuses a request that cannot be read and closes the connection, after the answers to the
   * requests before it.
   */
  private void refuse(int status, String code) {
    ignoreInput();
    if (isBusy()) {
      pendingRefusal = new Refusal(status, code);
      return;
    }
    FullHttpResponse answer = FailureAnswer.of(status, code);
    if (code.equals(MemoryLimiter.MEMORY_SHORT)) {
      FailureAnswer.setRetryAfter(answer, MemoryLimiter.RETRY_MS);
    } else {
      server.recordUnreadableRequest(status, code);
    }
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    lastWrite = channel.writeAndFlush(answer);
    closeAfterInput(lastWrite);
  }

  /** Drops what is held of requests that have not ended, and what else arrives. */
  private void ignoreInput() {
    ignoringInput = true;
    head = null;
    body.clear();
    dropDecoder();
    accountForNoInput();
  }

  private void accountForNoInput() {
    long nowMs = ControlThread.nowMs();
    account.update(Kind.HEAD, 0, nowMs);
    account.update(Kind.BODY, 0, nowMs);
  }

  /** Removes the decoder, which holds the lines of a head that has not ended. */
  private void dropDecoder() {
    if (decoder != null && channel.pipeline().context(decoder) != null) {
      channel.pipeline().remove(decoder);
    }
    decoder = null;
  }

  /**
   * Ends what is sent after a write, and closes the connection when the caller has done the same. A
   * close before all input is read resets the connection, so that the caller may lose its answers.
   */
  private void closeAfterInput(ChannelFuture write) {
    write.addListener(done -> shutDownOutput());
  }

  private void shutDownOutput() {
    if (channel.isActive() && channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
      channel.eventLoop().schedule(() -> channel.close(), MAX_CLOSE_MS, TimeUnit.MILLISECONDS);
    } else {
      channel.close();
    }
  }

  /**
   * Called when an answer is complete. Serves the next queued request, or closes the connection
   * unless it is kept alive.
   *
   * @param answerWrite write of the last part, which ends when the answer has left
   */
  void onReplyCompleted(boolean keepAlive, ChannelFuture answerWrite) {
    reply = null;
    lastWrite = answerWrite;
    lastUnsentBytes = unsentBytes();
    idleSinceMs = ControlThread.nowMs();
    answerWrite.addListener(done -> onAnswerLeft());
    server.onRequestEnded();
    account.update(Kind.RUNNING, 0, idleSinceMs);
    if (!keepAlive) {
      boolean mayReceiveMore = ignoringInput || hasPartOfRequest();
      dropQueuedRequests();
      account.update(Kind.QUEUED, 0, idleSinceMs);
      if (mayReceiveMore) {
        ignoreInput();
        closeAfterInput(answerWrite);
      } else {
        closeAfterFlush();
      }
    } else {
      serveNext();
    }
    onOutputChanged();
  }

  private void onAnswerLeft() {
    idleSinceMs = ControlThread.nowMs();
    if (channel.isActive()) {
      accountForOutput();
    }
  }

  /** Serves the next queued request as soon as the answers before it have left. */
  private void serveNext() {
    if (!pipelinedRequests.isEmpty()) {
      if (channel.isWritable()) {
        PipelinedRequest next = pipelinedRequests.remove();
        queuedBytes -= next.heldBytes;
        account.update(Kind.QUEUED, queuedBytes, ControlThread.nowMs());
        serve(next);
      }
    } else if (pendingRefusal != null) {
      refuse(pendingRefusal.status, pendingRefusal.code);
    } else if (ignoringInput) {
      closeAfterInput(lastWrite);
    } else if (head != null) {
      bodySinceMs = ControlThread.nowMs();
      bodyProgressMs = bodySinceMs;
      continueIfExpected();
    } else if (firstByteMs == 0) {
      server.onConnectionIdle(this);
    }
  }

  private void closeAfterFlush() {
    ignoringInput = true;
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Called when an answer cannot be completed. Resets the connection, so that the caller does not
   * take the part that was sent for the whole.
   */
  void onReplyAborted() {
    reply = null;
    server.onRequestEnded();
    reset();
  }

  /** Returns whether the next answer is the last one; requests that were read are answered. */
  boolean closesAfterAnswer() {
    return server.isDraining() && pipelinedRequests.isEmpty();
  }

  /** Returns whether a request is being received or answered, or its answer is still leaving. */
  boolean hasOpenRequest() {
    return isBusy() || hasPartOfRequest() || isSending();
  }

  private boolean isSending() {
    return lastWrite != null && !lastWrite.isDone();
  }

  private boolean hasPartOfRequest() {
    return !ignoringInput && (firstByteMs != 0 || gate.heldBytes() > 0);
  }

  /** Reads nothing more and closes the connection after what is being answered. */
  void stopReading() {
    if (hasPartOfRequest()) {
      refuse(503, "shutting_down");
    } else if (!isBusy() && !ignoringInput) {
      closeAfterFlush();
    }
    ignoringInput = true;
  }

  /** Closes the connection, which has no request or only a part of one. */
  void closeUnserved() {
    ignoreInput();
    channel.close();
  }

  /** Returns whether the connection can be closed without the loss of an answer. */
  boolean owesNoAnswer() {
    return !isBusy() && !isSending();
  }

  /** Returns when the request that arrives began; 0 if none does or nothing more is read. */
  long arrivingSinceMs() {
    return ignoringInput ? 0 : firstByteMs;
  }

  /**
   * Closes the connection when it has been idle or its request head incomplete for too long, or
   * when the server closes idle connections.
   */
  void sweep(long nowMs) {
    accountForOutput();
    if (reply != null) {
      return;
    }
    replaceOversizedDecoder();
    if (isSending()) {
      resetIfStalled(nowMs);
    } else if (!ignoringInput) {
      closeIfIdle(nowMs);
    }
  }

  /** Replaces a decoder that would keep a large buffer while the connection is idle. */
  private void replaceOversizedDecoder() {
    boolean isIdle = !isBusy() && !ignoringInput && firstByteMs == 0;
    if (isIdle && decoder.isOversized() && !decoder.isInsideMessage()) {
      RequestDecoder replacement = new RequestDecoder(server.limits().maxHeaderBytes());
      channel.pipeline().replace(decoder, null, replacement);
      decoder = replacement;
    }
  }

  private void closeIfIdle(long nowMs) {
    boolean requestBegun = firstByteMs != 0;
    if (requestBegun && head == null && nowMs - firstByteMs > server.limits().headerTimeoutMs()) {
      refuse(408, "header_timeout");
    } else if (head != null && nowMs > bodyDeadlineMs()) {
      refuse(408, "body_timeout");
    } else if (!requestBegun && nowMs - idleSinceMs > server.limits().idleTimeoutMs()) {
      channel.close();
    } else if (!requestBegun && server.closesIdleConnections()) {
      channel.close();
    }
  }

  /**
   * Returns until when the body in progress may go on: no pause is longer than the idle timeout,
   * and after a first idle timeout it arrives at least as fast as the limits require of a head,
   * which is the slowest rate that a caller within them may have.
   */
  private long bodyDeadlineMs() {
    CallerLimits limits = server.limits();
    long transferMs =
        receivedBodyBytes() * limits.headerTimeoutMs() / Math.max(1, limits.maxHeaderBytes());
    return limits.idleTimeoutMs() + Math.min(bodyProgressMs, bodySinceMs + transferMs);
  }

  /** Gives up on a caller that has taken no byte of its answer for the idle timeout. */
  private void resetIfStalled(long nowMs) {
    long stillUnsentBytes = unsentBytes();
    if (stillUnsentBytes != lastUnsentBytes) {
      lastUnsentBytes = stillUnsentBytes;
      idleSinceMs = nowMs;
    } else if (nowMs - idleSinceMs > server.limits().idleTimeoutMs()) {
      reset();
    }
  }

  private long unsentBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  /** Closes the connection in a way that shows that an answer is incomplete. */
  private void reset() {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    accountForOutput();
    if (!channel.isWritable()) {
      return;
    }
    if (reply != null) {
      reply.onWritable();
    } else if (!pipelinedRequests.isEmpty()) {
      serveNext();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    dropQueuedRequests();
    ignoreInput();
    account.close();
    server.onConnectionBusy(this);
    if (reply != null) {
      CallReply abandoned = reply;
      reply = null;
      server.onRequestEnded();
      abandoned.onDisconnected();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      server.recordFailedHandling(cause);
    }
    channel.close();
  }
}
