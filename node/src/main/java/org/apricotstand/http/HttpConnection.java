package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.apricotstand.input.InputGate;
import org.apricotstand.limit.MemoryBudget.Kind;
import org.apricotstand.limit.MemoryHolder;
import org.apricotstand.observe.EventLog;

/**
 * One connection of an {@link HttpServer}. Answers requests one at a time, in the order of arrival,
 * and still answers a caller that has closed its sending side.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest>
    implements MemoryHolder, NettyExchange.FinishListener {

  private static final EventLog LOG = EventLog.of(HttpConnection.class);

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
  private final HttpMemory memory;
  private final HttpMemory.Account account;
  private final InputGate gate;
  private final Queue<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
  private NettyExchange currentExchange;
  private boolean inputClosed;
  private boolean ignoringInput;
  private boolean draining;
  private ChannelHandlerContext channelContext;
  private long queuedBytes;
  private long accountedOutputBytes;

  HttpConnection(HttpHandler handler, HttpMemory memory, InputGate gate) {
    this.gate = gate;
    this.handler = handler;
    this.memory = memory;
    this.account = memory.open(this, "");
  }

  /** Returns the account of what this connection holds besides the request being answered. */
  HttpMemory.Account account() {
    return account;
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
    if (currentExchange == null && gate.heldBytes() == 0) {
      channelContext.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (currentExchange == null) {
      serve(context, request);
    } else if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
      pipelinedRequests.add(request.retain());
      setQueuedBytes(queuedBytes + sizeOf(request));
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
    Optional<HttpMemory.Account> requestMemory = memory.openRunning(sizeOf(request));
    if (requestMemory.isEmpty()) {
      refuseOverloaded(context, request);
      return;
    }
    currentExchange = new NettyExchange(context, request, requestMemory.get(), this);
    handle(currentExchange);
  }

  private void handle(NettyExchange exchange) {
    try {
      handler.handle(exchange);
    } catch (RuntimeException | Error e) {
      LOG.warn("request_handler_failed", "error", e.toString());
      exchange.fail();
    }
  }

  private static long sizeOf(FullHttpRequest request) {
    return RequestMemory.sizeOf(request.headers(), request.content().readableBytes());
  }

  /** Tells the caller that its request has not run and may be sent again. */
  private void refuseOverloaded(ChannelHandlerContext context, FullHttpRequest request) {
    currentExchange = exchangeOf(context, request);
    currentExchange.respond(
        HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
        Map.of("content-type", "application/json", "retry-after", "1"),
        BodyCollector.notRun(HttpMemory.MEMORY_SHORT).getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the exchange of a request that is refused and not handled. */
  private NettyExchange exchangeOf(ChannelHandlerContext context, FullHttpRequest request) {
    return new NettyExchange(context, request, memory.open((kind, reason) -> {}, ""), this);
  }

  private void setQueuedBytes(long bytes) {
    queuedBytes = bytes;
    account.update(Kind.QUEUED, bytes);
  }

  private void reject(ChannelHandlerContext context, FullHttpRequest request) {
    Rejection rejection = Rejection.of(request.decoderResult().cause());
    if (rejection.closesConnection) {
      HttpUtil.setKeepAlive(request, false);
    }
    currentExchange = exchangeOf(context, request);
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

  @Override
  public void onOutputChanged() {
    accountedOutputBytes = unsentBytes();
    account.update(Kind.OUTPUT, accountedOutputBytes);
  }

  private long unsentBytes() {
    ChannelOutboundBuffer buffer = channelContext.channel().unsafe().outboundBuffer();
    long heldBytes = currentExchange == null ? 0 : currentExchange.heldBytes();
    return buffer == null
        ? heldBytes
        : heldBytes + buffer.totalPendingWriteBytes() - buffer.currentProgress();
  }

  @Override
  public void giveUp(Kind kind, String reason) {
    channelContext.executor().execute(() -> release(kind));
  }

  private void release(Kind kind) {
    if (kind == Kind.OUTPUT) {
      releaseOutput();
    } else if (kind == Kind.QUEUED) {
      releaseQueue();
    } else {
      releaseIncompleteRequest();
    }
  }

  /** Resets the connection, unless its caller has read since its output was accounted for. */
  private void releaseOutput() {
    if (unsentBytes() < accountedOutputBytes) {
      onOutputChanged();
    } else {
      // A normal close would look like the end of a body without a length.
      channelContext.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      channelContext.close();
    }
  }

  private void releaseQueue() {
    if (!pipelinedRequests.isEmpty()) {
      ignoringInput = true;
      pipelinedRequests.forEach(FullHttpRequest::release);
      pipelinedRequests.clear();
      setQueuedBytes(0);
    }
  }

  /**
   * Releases the request being received. Its caller gets an answer if the head has arrived, and the
   * connection is closed after the answers to the requests before.
   */
  private void releaseIncompleteRequest() {
    RequestMemory requestMemory = channelContext.pipeline().get(RequestMemory.class);
    if (!requestMemory.isHolding()) {
      return;
    }
    boolean isAnswerable =
        requestMemory.isBodyArriving() && currentExchange == null && !ignoringInput;
    if (!discardIncompleteRequest() || ignoringInput) {
      return;
    }
    ignoringInput = true;
    if (isAnswerable) {
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
      HttpUtil.setKeepAlive(request, false);
      refuseOverloaded(channelContext, request);
    } else if (currentExchange == null) {
      channelContext.close();
    }
  }

  /**
   * Releases the request being received, if any; nothing more is read of the connection's input.
   */
  private boolean discardIncompleteRequest() {
    ChannelPipeline pipeline = channelContext.pipeline();
    RequestMemory requestMemory = pipeline.get(RequestMemory.class);
    // The timeout does not run for lines that arrived in the same read as the request before them.
    if (!requestMemory.isHolding() && !pipeline.get(RequestReadTimeout.class).isReceiving()) {
      return false;
    }
    requestMemory.discard();
    if (pipeline.get(BodyCollector.class) != null) {
      pipeline.remove(BodyCollector.class);
    }
    return true;
  }

  /** Discards what arrives after the request at which the connection ends. */
  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (ignoringInput) {
      ReferenceCountUtil.release(message);
    } else {
      super.channelRead(context, message);
    }
  }

  @Override
  public void onAnswerFinished(ChannelHandlerContext context, boolean keepAlive) {
    currentExchange = null;
    FullHttpRequest next = pipelinedRequests.poll();
    if (next != null) {
      setQueuedBytes(queuedBytes - sizeOf(next));
    }
    if (next != null && keepAlive) {
      try {
        serve(context, next);
      } finally {
        next.release();
      }
    } else if (!keepAlive || inputClosed || ignoringInput || draining) {
      if (next != null) {
        next.release();
      }
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
        ignoringInput
            || gate.heldBytes() > 0
            || context.pipeline().get(RequestReadTimeout.class).isReceiving();
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
    } else {
      discardIncompleteRequest();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    onOutputChanged();
    if (currentExchange != null && context.channel().isWritable()) {
      currentExchange.onChannelWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    account.close();
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
