package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
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

/** One connection of a caller: collects its requests and answers them one after the other. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final int MAX_PIPELINED = 16;

  private final CallerServer server;
  private final Queue<Waiting> pipelined = new ArrayDeque<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Channel channel;
  private HttpRequest head;
  private boolean refusing;
  private long firstByteMs;
  private CallReply reply;
  private long idleSinceMs = ControlThread.nowMs();

  private record Waiting(CallerRequest request, boolean keepAlive) {}

  CallerConnection(CallerServer server) {
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Notes that bytes arrived, before they are decoded. */
  void bytesArrived() {
    if (firstByteMs == 0) {
      firstByteMs = ControlThread.nowMs();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (refusing) {
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
    if (message instanceof HttpContent content && !refusing) {
      readBody(content);
    }
  }

  private void readHead(HttpRequest request) {
    head = request;
    body.reset();
    // A pipelined request can arrive in one read with the request before it.
    bytesArrived();
    Optional<String> fault = RequestCheck.fault(request);
    if (fault.isPresent()) {
      refuse(400, "malformed_" + fault.get());
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
      requestComplete();
    }
  }

  private void requestComplete() {
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
    } else if (pipelined.size() < MAX_PIPELINED) {
      pipelined.add(new Waiting(request, keepAlive));
    } else {
      channel.close();
    }
  }

  private void serve(CallerRequest request, boolean keepAlive) {
    reply = new CallReply(this, channel, request, keepAlive);
    server.began();
    CallReply current = reply;
    CallHandler.ActiveCall call = server.handler().handle(request, current);
    current.setCall(call);
  }

  /** A request that can't be read is answered after the requests before it. */
  private void refuse(int status, String code) {
    refusing = true;
    if (reply != null) {
      channel.close();
      return;
    }
    FullHttpResponse answer = FailureAnswer.of(status, code);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    server.refusedUnread(status, code);
    channel.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  /** Called when an answer is complete; the connection goes on when both sides want it. */
  void answered(boolean keepAlive) {
    reply = null;
    idleSinceMs = ControlThread.nowMs();
    server.ended();
    if (!keepAlive) {
      refusing = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    Waiting next = pipelined.poll();
    if (next != null) {
      serve(next.request, next.keepAlive);
    }
  }

  /** Called when an answer stays incomplete. */
  void aborted() {
    reply = null;
    server.ended();
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  boolean isDraining() {
    return server.isDraining();
  }

  /** Closes the connection when it was idle, or its head incomplete, for too long. */
  void sweep(long nowMs) {
    boolean reading = firstByteMs != 0;
    if (reply != null) {
      return;
    }
    if (reading && head == null && nowMs - firstByteMs > server.limits().headerTimeoutMs()) {
      refuse(408, "header_timeout");
    } else if (!reading && nowMs - idleSinceMs > server.limits().idleTimeoutMs()) {
      channel.close();
    } else if (!reading && server.closesIdle()) {
      channel.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (reply != null && channel.isWritable()) {
      reply.writable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelined.clear();
    if (reply != null) {
      CallReply ended = reply;
      reply = null;
      server.ended();
      ended.gone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }
}
