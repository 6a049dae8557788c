package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import org.apricotstand.control.ControlThread;

/**
 * Reads the requests of one caller connection and answers them in order. While a request is in
 * progress, up to {@value #MAX_PIPELINED_REQUESTS} further ones are queued; beyond that nothing
 * more is read and the connection is closed after their answers.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final int MAX_PIPELINED_REQUESTS = 16;

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
  private long unsentBytesAtSweep;

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
    } else if (HttpUtil.is100ContinueExpected(request) && reply == null) {
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
    CallHandler.ActiveCall call = server.handler().handle(request, current);
    current.setCall(call);
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
    channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  /**
   * Called when an answer is complete. Serves the next queued request, or closes the connection
   * unless it is kept alive.
   */
  void onReplyCompleted(boolean keepAlive) {
    reply = null;
    idleSinceMs = ControlThread.nowMs();
    server.onRequestEnded();
    PipelinedRequest next = pipelinedRequests.poll();
    if (!keepAlive) {
      closeAfterFlush();
    } else if (next != null) {
      serve(next.request, next.keepAlive);
    } else if (pendingRefusal != null) {
      refuse(pendingRefusal.status, pendingRefusal.code);
    } else if (ignoringInput) {
      closeAfterFlush();
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
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Returns whether the next answer is the last one; requests that were read are answered. */
  boolean closesAfterAnswer() {
    return server.isDraining() && pipelinedRequests.isEmpty();
  }

  /** Returns whether a request is being received or answered, or its answer has not left. */
  boolean hasOpenRequest() {
    return reply != null || hasPartOfRequest() || unsentBytes() > 0;
  }

  /** Returns the size of what is written and not yet taken over by the socket. */
  private long unsentBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
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
   * Closes the connection when it has been idle or its request head incomplete for too long, when
   * the caller reads nothing of its answer for as long, or when the server closes idle connections.
   */
  void sweep(long nowMs) {
    boolean requestBegun = firstByteMs != 0;
    if (reply != null) {
      return;
    }
    long unsent = unsentBytes();
    if (unsent != unsentBytesAtSweep) {
      unsentBytesAtSweep = unsent;
      idleSinceMs = nowMs;
    }
    if (requestBegun && head == null && nowMs - firstByteMs > server.limits().headerTimeoutMs()) {
      refuse(408, "header_timeout");
    } else if (!requestBegun && nowMs - idleSinceMs > server.limits().idleTimeoutMs()) {
      channel.close();
    } else if (!requestBegun && unsent == 0 && server.closesIdleConnections()) {
      channel.close();
    }
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
    channel.close();
  }
}
