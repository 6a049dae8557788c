package org.apricotstand.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.apricotstand.control.ControlThread;
import org.apricotstand.input.InputGate;

/**
 * A connection to a target that carries one request at a time. An answer that echoes the id of
 * another request is dropped: a target may send it late, in place of the answer to the current
 * request. An answer without id counts only where no other can come, as the first of a connection,
 * which is closed after it. A connection that receives bytes while it is idle is closed.
 */
public final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** Counted for the head of a skipped answer, whose length is not known here. */
  private static final int SKIPPED_HEAD_BYTES = 1_024;

  private final TargetConnectionPool pool;
  private final InputGate gate;
  private final AnswerDecoder decoder;
  private Channel channel;
  private TargetRequest request;
  private AnswerListener listener;
  private boolean otherAnswerPossible;
  private boolean headReceived;
  private boolean skippingAnswer;
  private long skippedBytes;
  private boolean reusable;
  private boolean connectionFailed;
  private long idleSinceMs;
  private long idleUntilMs = Long.MAX_VALUE;

  TargetConnection(TargetConnectionPool pool, InputGate gate, AnswerDecoder decoder) {
    this.pool = pool;
    this.gate = gate;
    this.decoder = decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /**
   * Sends a request. Unless the request is canceled, the listener is told of its end exactly once,
   * by {@link AnswerListener#onEnd} or {@link AnswerListener#onFailure}.
   */
  void send(TargetRequest newRequest, AnswerListener newListener) {
    otherAnswerPossible = request != null;
    request = newRequest;
    listener = newListener;
    headReceived = false;
    skippingAnswer = false;
    skippedBytes = 0;
    reusable = true;
    decoder.expect(newRequest.method());
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            newRequest.method(),
            newRequest.uri(),
            Unpooled.wrappedBuffer(newRequest.body()),
            newRequest.headers(),
            EmptyHttpHeaders.INSTANCE);
    channel.writeAndFlush(message, channel.voidPromise());
  }

  /** Cancels the request by closing the connection; the listener is not called any more. */
  public void cancel() {
    listener = null;
    channel.close();
  }

  /**
   * Closes the connection after the current answer. The next attempt of a rejected request bears
   * the same id, so that a second answer to this one could be taken for its answer.
   */
  public void closeAfterAnswer() {
    reusable = false;
  }

  /** Pauses or resumes reading from the target, so that a slow caller does not fill the buffers. */
  public void setReading(boolean reading) {
    gate.setReading(reading);
  }

  /**
   * Returns the memory of what was read and not passed to the listener: bytes that wait for their
   * turn to be decoded, and the lines of a head that has not ended.
   */
  public long heldInputBytes() {
    return gate.heldBytes() + decoder.heldHeaderBytes();
  }

  boolean isUsable(long nowMs) {
    return channel.isActive() && nowMs < idleUntilMs;
  }

  void setIdleUntil(long nowMs, long maxIdleMs) {
    idleSinceMs = nowMs;
    idleUntilMs = Math.min(idleUntilMs, idleSinceMs + maxIdleMs);
  }

  void close() {
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (listener == null) {
      channel.close();
      return;
    }
    if (message.decoderResult().isFailure()) {
      failByDecoder(message.decoderResult().cause());
      return;
    }
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content && listener != null) {
      readContent(content);
    }
  }

  private void failByDecoder(Throwable cause) {
    boolean endedInHead = cause instanceof PrematureChannelClosureException;
    fail(
        endedInHead
            ? new SendFailure.ConnectionLost("closed_in_head")
            : new SendFailure.Malformed(String.valueOf(cause)));
  }

  private void readHead(HttpResponse head) {
    decoder.onHeadRead();
    Optional<String> fault = HeadCheck.findFault(head, pool.headerNames());
    if (fault.isPresent()) {
      fail(new SendFailure.Malformed(fault.get()));
      return;
    }
    String echoed = head.headers().get(pool.headerNames().requestId());
    boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean belongsToOtherRequest =
        request.id() != null && echoed != null && !echoed.equals(request.id());
    skippingAnswer = informational || belongsToOtherRequest;
    if (skippingAnswer) {
      if (!informational) {
        otherAnswerPossible = true;
        pool.logDroppedAnswer(request, echoed, head.status().code());
      }
      recordSkipped(SKIPPED_HEAD_BYTES);
      return;
    }
    if (echoed == null && otherAnswerPossible) {
      fail(new SendFailure.Malformed("answer without request id on a kept connection"));
      return;
    }
    headReceived = true;
    reusable = echoed != null && HttpUtil.isKeepAlive(head) && hasLength(head);
    idleUntilMs = ControlThread.nowMs() + KeepAlive.timeoutMs(head.headers());
    listener.onHead(head);
  }

  /** Gives up when a target sends other bytes than the answer without end. */
  private void recordSkipped(int bytes) {
    skippedBytes += bytes;
    if (skippedBytes > pool.maxSkippedBytes()) {
      fail(new SendFailure.Malformed("too many bytes before the answer"));
    }
  }

  /** Returns whether the head tells where the body ends; if not, it ends with the connection. */
  public static boolean hasLength(HttpResponse head) {
    return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || HttpUtil.isTransferEncodingChunked(head)
        || head.status().code() == 204
        || head.status().code() == 304;
  }

  private void readContent(HttpContent content) {
    if (skippingAnswer) {
      recordSkipped(content.content().readableBytes());
      if (content instanceof LastHttpContent) {
        skippingAnswer = false;
      }
      return;
    }
    if (content.content().isReadable()) {
      listener.onPart(content.content());
    }
    if (content instanceof LastHttpContent && listener != null) {
      if (connectionFailed) {
        fail(new SendFailure.ConnectionLost("reset"));
      } else {
        complete();
      }
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (listener != null) {
      listener.onReadComplete();
    }
  }

  private void complete() {
    AnswerListener endedListener = listener;
    listener = null;
    // An idle connection would keep the body, which may be as large as the limits allow.
    request = request.withoutContent();
    decoder.expectNothing();
    if (decoder.hasUnreadBytes() || gate.heldBytes() > 0) {
      channel.close();
    } else if (reusable && channel.isActive()) {
      gate.setReading(true);
      pool.release(this);
    } else {
      channel.close();
    }
    endedListener.onEnd();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof AnswerDecoder.UnsolicitedBytes bytes) {
      pool.logUnsolicitedBytes(this, request, bytes.count());
      channel.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  private void fail(SendFailure failure) {
    AnswerListener endedListener = listener;
    listener = null;
    channel.close();
    if (endedListener != null) {
      endedListener.onFailure(failure);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pool.onConnectionClosed(this);
    fail(
        new SendFailure.ConnectionLost(headReceived ? "closed_in_answer" : "closed_before_answer"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionFailed = true;
    fail(new SendFailure.ConnectionLost(String.valueOf(cause.getMessage())));
  }
}
