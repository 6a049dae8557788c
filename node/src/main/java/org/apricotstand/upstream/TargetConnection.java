package org.apricotstand.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
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
import org.apricotstand.control.ControlThread;

/**
 * One connection to a target. Answers that belong to another request are dropped: a target may send
 * one late, where the next answer is expected. A connection that receives bytes while it is idle is
 * closed.
 */
public final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {

  private final TargetConnections owner;
  private final AnswerDecoder decoder;
  private Channel channel;
  private TargetRequest request;
  private AnswerListener listener;
  private boolean headSeen;
  private boolean skipping;
  private boolean reusable;
  private boolean reset;
  private long idleSinceMs;
  private long idleUntilMs = Long.MAX_VALUE;

  TargetConnection(TargetConnections owner, AnswerDecoder decoder) {
    this.owner = owner;
    this.decoder = decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Sends a request; the listener hears of its end exactly once unless it is cancelled. */
  void send(TargetRequest sent, AnswerListener answers) {
    request = sent;
    listener = answers;
    headSeen = false;
    skipping = false;
    reusable = true;
    decoder.expect(sent.method());
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            sent.method(),
            sent.uri(),
            Unpooled.wrappedBuffer(sent.body()),
            sent.headers(),
            EmptyHttpHeaders.INSTANCE);
    channel.writeAndFlush(message, channel.voidPromise());
  }

  /** Ends the request without an answer; the target sees the connection close. */
  public void cancel() {
    listener = null;
    channel.close();
  }

  /** Stops or continues reading, for callers that read slowly. */
  public void setReading(boolean reading) {
    channel.config().setAutoRead(reading);
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
      end(new SendFailure.Malformed(String.valueOf(message.decoderResult().cause())));
      return;
    }
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content && listener != null) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse head) {
    String echoed = head.headers().get(owner.requestIdHeader());
    boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    boolean foreign = request.id() != null && echoed != null && !echoed.equals(request.id());
    skipping = informational || foreign;
    if (skipping) {
      owner.skipped(request, echoed, head.status().code());
      return;
    }
    headSeen = true;
    reusable = HttpUtil.isKeepAlive(head) && hasLength(head);
    idleUntilMs = ControlThread.nowMs() + KeepAlive.timeoutMs(head.headers());
    listener.onHead(head);
  }

  private static boolean hasLength(HttpResponse head) {
    return head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || HttpUtil.isTransferEncodingChunked(head)
        || head.status().code() == 204
        || head.status().code() == 304;
  }

  private void readContent(HttpContent content) {
    if (skipping) {
      if (content instanceof LastHttpContent) {
        skipping = false;
      }
      return;
    }
    if (content.content().isReadable()) {
      listener.onPart(content.content());
    }
    if (content instanceof LastHttpContent && listener != null) {
      if (reset) {
        end(new SendFailure.ConnectionLost("reset"));
      } else {
        complete();
      }
    }
  }

  private void complete() {
    AnswerListener ended = listener;
    listener = null;
    if (reusable && channel.isActive()) {
      channel.config().setAutoRead(true);
      owner.release(this);
    } else {
      channel.close();
    }
    ended.onEnd();
  }

  private void end(SendFailure failure) {
    AnswerListener ended = listener;
    listener = null;
    channel.close();
    if (ended != null) {
      ended.onBroken(failure);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.closed(this);
    end(new SendFailure.ConnectionLost(headSeen ? "closed_in_answer" : "closed_before_answer"));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    end(new SendFailure.ConnectionLost(String.valueOf(cause.getMessage())));
  }
}
