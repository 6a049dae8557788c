package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * One connection of an {@link HttpServer}: answers its requests one after the other, in the order
 * of arrival, and goes on answering a caller that closed its sending side.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  /** Pipelined requests kept for later; a caller that sends more is disconnected. */
  private static final int MAX_PIPELINED = 16;

  /** Longer than a request takes from a caller of today to this instance. */
  private static final long DRAIN_GRACE_MS = 1_000;

  private final HttpHandler handler;
  private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
  private NettyExchange current;
  private boolean inputClosed;
  private boolean draining;
  private ChannelHandlerContext active;

  HttpConnection(HttpHandler handler) {
    this.handler = handler;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    active = context;
  }

  /**
   * Closes the connection after the answer in progress. A connection without a request stays open
   * for a short time, since a request may be on its way, which closing it would cut off.
   */
  void drain() {
    draining = true;
    if (current == null) {
      active.executor().schedule(this::closeIfIdle, DRAIN_GRACE_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void closeIfIdle() {
    if (current == null) {
      active.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (current == null) {
      serve(context, request);
    } else if (pipelined.size() < MAX_PIPELINED) {
      pipelined.add(request.retain());
    } else {
      context.close();
    }
  }

  private void serve(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      reject(context, request);
      return;
    }
    if (draining) {
      HttpUtil.setKeepAlive(request, false);
    }
    current = new NettyExchange(context, request, this::finished);
    handler.handle(current);
  }

  private void reject(ChannelHandlerContext context, FullHttpRequest request) {
    boolean tooLarge = request.decoderResult().cause() instanceof TooLongFrameException;
    HttpResponseStatus status =
        tooLarge
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    HttpUtil.setKeepAlive(request, false);
    current = new NettyExchange(context, request, this::finished);
    String code = tooLarge ? "headers_too_large" : "malformed_request";
    current.respondJson(status.code(), BodyCollector.notRun(code));
  }

  private void finished(ChannelHandlerContext context, boolean keepAlive) {
    current = null;
    FullHttpRequest next = pipelined.poll();
    if (next != null && keepAlive) {
      try {
        serve(context, next);
      } finally {
        next.release();
      }
    } else if (!keepAlive || inputClosed || draining) {
      context.close();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputClosed = true;
      if (current == null) {
        context.close();
      }
    } else if (event instanceof IdleStateEvent && current == null) {
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.becameWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelined.forEach(FullHttpRequest::release);
    pipelined.clear();
    if (current != null) {
      current.connectionClosed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
