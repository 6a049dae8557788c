package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes the answer to one request to the connection it arrived on. */
final class CallReply implements Reply {

  /** Shorter parts are copied into one, since each part costs more than so many bytes to send. */
  private static final int MIN_SEPARATE_BYTES = 1_024;

  private final CallerConnection connection;
  private final Channel channel;
  private final CallerRequest request;
  private final boolean callerKeepsAlive;
  private final ByteCollector smallParts = new ByteCollector();
  private CallHandler.ActiveCall call;
  private boolean keepsAlive;
  private boolean begun;
  private boolean hasUnflushedParts;
  private boolean ended;
  private boolean disconnected;

  CallReply(
      CallerConnection connection, Channel channel, CallerRequest request, boolean keepAlive) {
    this.connection = connection;
    this.channel = channel;
    this.request = request;
    this.callerKeepsAlive = keepAlive;
  }

  void setCall(CallHandler.ActiveCall active) {
    call = active;
    if (disconnected) {
      call.onCallerDisconnected();
    }
  }

  void onDisconnected() {
    disconnected = true;
    ended = true;
    smallParts.clear();
    if (call != null) {
      call.onCallerDisconnected();
    }
  }

  void onWritable() {
    if (call != null) {
      call.onCallerWritable();
    }
  }

  @Override
  public void fail(int status, String code, long retryAfterMs) {
    if (ended) {
      return;
    }
    FullHttpResponse answer = FailureAnswer.of(status, code);
    if (retryAfterMs > 0) {
      FailureAnswer.setRetryAfter(answer, retryAfterMs);
    }
    if (HttpMethod.HEAD.equals(request.method())) {
      answer.content().clear();
    }
    setConnectionHeader(answer);
    finish(channel.writeAndFlush(answer));
  }

  @Override
  public void writeHead(HttpResponse head) {
    if (ended) {
      return;
    }
    HttpResponse answer =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, head.status(), HopByHopHeaders.strip(head.headers()));
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    boolean bodiless = HttpMethod.HEAD.equals(request.method()) || ResponseFraming.isBodiless(head);
    if (length != null && !HttpUtil.isTransferEncodingChunked(head)) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (!bodiless) {
      // The connections of a killed process end like those of a complete answer, so the end of the
      // body must not be marked by the end of the connection, however the target framed it.
      HttpUtil.setTransferEncodingChunked(answer, true);
    }
    setConnectionHeader(answer);
    begun = true;
    channel.write(answer, channel.voidPromise());
  }

  @Override
  public void writePart(ByteBuf part) {
    if (ended) {
      return;
    }
    hasUnflushedParts = true;
    if (part.readableBytes() < MIN_SEPARATE_BYTES) {
      smallParts.add(part);
    } else {
      writeSmallParts();
      channel.write(new DefaultHttpContent(part.retainedSlice()), channel.voidPromise());
    }
  }

  private void writeSmallParts() {
    if (smallParts.size() > 0) {
      channel.write(new DefaultHttpContent(smallParts.take()), channel.voidPromise());
    }
  }

  @Override
  public void flush() {
    if (!ended && hasUnflushedParts) {
      hasUnflushedParts = false;
      writeSmallParts();
      channel.flush();
      connection.onOutputChanged();
    }
  }

  @Override
  public void end() {
    if (!ended) {
      writeSmallParts();
      finish(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }
  }

  @Override
  public void abort() {
    if (!ended) {
      flush();
      ended = true;
      connection.onReplyAborted();
    }
  }

  /** Fails the request, or breaks its answer off if that has begun. */
  void failOrAbort(int status, String code) {
    if (begun) {
      abort();
    } else {
      fail(status, code, 0);
    }
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void setConnectionHeader(HttpResponse answer) {
    keepsAlive = callerKeepsAlive && !connection.closesAfterAnswer();
    if (!keepsAlive) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void finish(ChannelFuture lastWrite) {
    ended = true;
    lastWrite.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    connection.onReplyCompleted(keepsAlive, lastWrite);
  }
}
