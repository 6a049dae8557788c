package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * One connection of an {@link HttpServer}. Answers requests one at a time, in the order of arrival,
 * and still answers a caller that has closed its sending side.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  /**
   * Maximum number of queued pipelined requests. What a caller sends beyond that is not read, and
   * the connection is closed after the answers to the others.
   */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  /**
   * Time that an idle connection stays open after the start of a drain. The requests of current
   * callers take less time to arrive.
   */
  private static final long DRAIN_GRACE_MS = 1_000;

  /** Time in which a caller may go on sending after its last answer. */
  private static final long MAX_CLOSE_MS = 1_000;

  private final HttpHandler handler;
  private final Queue<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
  private NettyExchange currentExchange;
  private boolean inputClosed;
  private boolean ignoringInput;
  private boolean draining;
  private ChannelHandlerContext channelContext;

  HttpConnection(HttpHandler handler) {
    this.handler = handler;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
  }

  /**
   * Closes the connection after the answers to the requests that were read. An idle connection
   * stays open for {@value #DRAIN_GRACE_MS} ms, because a request may be on its way.
   */
  void drain() {
    draining = true;
    if (currentExchange == null) {
      channelContext.executor().schedule(this::closeIfIdle, DRAIN_GRACE_MS, TimeUnit.MILLISECONDS);
    }
  }

  boolean isAnswering() {
    return currentExchange != null;
  }

  private void closeIfIdle() {
    if (currentExchange == null) {
      channelContext.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (ignoringInput) {
      return;
    }
    if (currentExchange == null) {
      serve(context, request);
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(request.retain());
    } else {
      ignoringInput = true;
    }
  }

  private void serve(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      reject(context, request);
      return;
    }
    if (draining && pipelinedRequests.isEmpty()) {
      HttpUtil.setKeepAlive(request, false);
    }
    currentExchange = new NettyExchange(context, request, this::onAnswerFinished);
    handler.handle(currentExchange);
  }

  private void reject(ChannelHandlerContext context, FullHttpRequest request) {
    Rejection rejection = Rejection.of(request.decoderResult().cause());
    if (rejection.closesConnection) {
      HttpUtil.setKeepAlive(request, false);
    }
    currentExchange = new NettyExchange(context, request, this::onAnswerFinished);
    currentExchange.respondJson(rejection.status.code(), BodyCollector.notRun(rejection.code));
  }

  /** How a request that cannot be read is answered. */
  private enum Rejection {
    BODY_TOO_LARGE(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large", false),
    HEADERS_TOO_LARGE(
        HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "headers_too_large", true),
    MALFORMED(HttpResponseStatus.BAD_REQUEST, "malformed_request", true);

    private final HttpResponseStatus status;
    private final String code;
    private final boolean closesConnection;

    Rejection(HttpResponseStatus status, String code, boolean closesConnection) {
      this.status = status;
      this.code = code;
      this.closesConnection = closesConnection;
    }

    static Rejection of(Throwable cause) {
      return switch (cause) {
        case TooLongHttpContentException e -> BODY_TOO_LARGE;
        case TooLongFrameException e -> HEADERS_TOO_LARGE;
        default -> MALFORMED;
      };
    }
  }

  private void onAnswerFinished(ChannelHandlerContext context, boolean keepAlive) {
    currentExchange = null;
    FullHttpRequest next = pipelinedRequests.poll();
    if (next != null && keepAlive) {
      try {
        serve(context, next);
      } finally {
        next.release();
      }
    } else if (!keepAlive || inputClosed || ignoringInput || draining) {
      closeAfterInput(context);
    } else {
      context.pipeline().get(BodyCollector.class).sendDueContinue(context);
    }
  }

  /**
   * Closes the connection. If a request is arriving, ends the output first and waits for the caller
   * to do the same: a close before all input is read resets the connection, so that the caller may
   * lose its answers.
   */
  private void closeAfterInput(ChannelHandlerContext context) {
    boolean isReceiving =
        ignoringInput || context.pipeline().get(RequestReadTimeout.class).isReceiving();
    ignoringInput = true;
    if (!inputClosed && isReceiving && context.channel() instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
      context.executor().schedule(() -> context.close(), MAX_CLOSE_MS, TimeUnit.MILLISECONDS);
    } else {
      context.close();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputClosed = true;
      if (currentExchange == null) {
        context.close();
      }
    } else if (event instanceof IdleStateEvent && currentExchange == null) {
      context.close();
    } else if (event == RequestReadTimeout.EXPIRED) {
      closeAfterAnswers(context);
    }
  }

  private void closeAfterAnswers(ChannelHandlerContext context) {
    ignoringInput = true;
    if (currentExchange == null) {
      context.close();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (currentExchange != null && context.channel().isWritable()) {
      currentExchange.onChannelWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelinedRequests.forEach(FullHttpRequest::release);
    pipelinedRequests.clear();
    if (currentExchange != null) {
      currentExchange.onConnectionClosed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
