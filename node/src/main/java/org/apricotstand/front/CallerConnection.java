package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;

/**
 * Reads the requests of one caller connection and answers them in order. While a request is in
 * progress, up to {@value #MAX_PIPELINED_REQUESTS} further ones are queued; beyond that nothing
 * more is read and the connection is closed after their answers.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final int MAX_PIPELINED_REQUESTS = 16;

  /** Time in which a caller that has been refused may go on sending. */
  private static final long MAX_CLOSE_MS = 1_000;

  /** Promises nothing about the run of the request. */
  private static final int BAD_GATEWAY = 502;

  private final CallerServer server;
  private final Queue<PipelinedRequest> pipelinedRequests = new ArrayDeque<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Channel channel;
  private HttpRequest head;
  private boolean ignoringInput;
  private Refusal pendingRefusal;
  private long firstByteMs;
  private CallReply reply;
  private long idleSinceMs = ControlThread.nowMs();
  private ChannelFuture lastWrite;
  private long unsentBytes;

  /** Refusal of an unreadable request, which waits for the answers to the requests before it. */
  private record Refusal(int status, String code) {}

  private record PipelinedRequest(CallerRequest request, boolean keepAlive) {}

  CallerConnection(CallerServer server) {
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Records when the first byte of a request arrived; called before the bytes are decoded. */
  void recordFirstByte() {
    if (firstByteMs == 0) {
      firstByteMs = ControlThread.nowMs();
    }
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
    body.reset();
    // A pipelined request can arrive in the same read as the one before it; no other call records
    // its first byte then.
    recordFirstByte();
    Optional<String> reason = RequestValidator.rejectionReason(request);
    if (reason.isPresent()) {
      refuse(400, "malformed_" + reason.get());
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      refuse(413, "body_too_large");
    } else if (reply == null) {
      continueIfExpected();
    }
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
    if (body.size() + part.readableBytes() > server.limits().maxBodyBytes()) {
      refuse(413, "body_too_large");
      return;
    }
    byte[] bytes = ByteBufUtil.getBytes(part);
    body.writeBytes(bytes);
    if (content instanceof LastHttpContent) {
      completeRequest();
    }
  }

  private void completeRequest() {
    CallerRequest request =
        new CallerRequest(
            head.method(),
            head.uri(),
            head.headers(),
            body.toByteArray(),
            ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress(),
            firstByteMs);
    boolean keepAlive = HttpUtil.isKeepAlive(head);
    head = null;
    firstByteMs = 0;
    if (reply == null) {
      serve(request, keepAlive);
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(new PipelinedRequest(request, keepAlive));
    } else {
      ignoringInput = true;
    }
  }

  private void serve(CallerRequest request, boolean keepAlive) {
    reply = new CallReply(this, channel, request, keepAlive);
    server.onRequestStarted();
    CallReply current = reply;
    try {
      current.setCall(server.handler().handle(request, current));
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
    ignoringInput = true;
    if (reply != null) {
      pendingRefusal = new Refusal(status, code);
      return;
    }
    FullHttpResponse answer = FailureAnswer.of(status, code);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    server.recordUnreadableRequest(status, code);
    lastWrite = channel.writeAndFlush(answer);
    closeAfterInput(lastWrite);
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
    unsentBytes = unsentBytes();
    idleSinceMs = ControlThread.nowMs();
    answerWrite.addListener(done -> idleSinceMs = ControlThread.nowMs());
    server.onRequestEnded();
    PipelinedRequest next = pipelinedRequests.poll();
    if (!keepAlive && (ignoringInput || hasPartOfRequest())) {
      ignoringInput = true;
      closeAfterInput(answerWrite);
    } else if (!keepAlive) {
      closeAfterFlush();
    } else if (next != null) {
      serve(next.request, next.keepAlive);
    } else if (pendingRefusal != null) {
      refuse(pendingRefusal.status, pendingRefusal.code);
    } else if (ignoringInput) {
      closeAfterInput(answerWrite);
    } else if (head != null) {
      continueIfExpected();
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
    return reply != null || hasPartOfRequest() || isSending();
  }

  private boolean isSending() {
    return lastWrite != null && !lastWrite.isDone();
  }

  private boolean hasPartOfRequest() {
    return !ignoringInput && firstByteMs != 0;
  }

  /** Reads nothing more and closes the connection after what is being answered. */
  void stopReading() {
    if (hasPartOfRequest()) {
      refuse(503, "shutting_down");
    } else if (reply == null && !ignoringInput) {
      closeAfterFlush();
    }
    ignoringInput = true;
  }

  /**
   * Closes the connection when it has been idle or its request head incomplete for too long, or
   * when the server closes idle connections.
   */
  void sweep(long nowMs) {
    if (reply != null) {
      return;
    }
    if (isSending()) {
      resetIfStalled(nowMs);
    } else if (!ignoringInput) {
      closeIfIdle(nowMs);
    }
  }

  private void closeIfIdle(long nowMs) {
    boolean requestBegun = firstByteMs != 0;
    if (requestBegun && head == null && nowMs - firstByteMs > server.limits().headerTimeoutMs()) {
      refuse(408, "header_timeout");
    } else if (!requestBegun && nowMs - idleSinceMs > server.limits().idleTimeoutMs()) {
      channel.close();
    } else if (!requestBegun && server.closesIdleConnections()) {
      channel.close();
    }
  }

  /** Gives up on a caller that has taken no byte of its answer for the idle timeout. */
  private void resetIfStalled(long nowMs) {
    long stillUnsentBytes = unsentBytes();
    if (stillUnsentBytes != unsentBytes) {
      unsentBytes = stillUnsentBytes;
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
    if (reply != null && channel.isWritable()) {
      reply.onWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelinedRequests.clear();
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
