package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.ServerBootstraps;
import org.apricotstand.input.InputGate;
import org.apricotstand.input.InputTurns;
import org.apricotstand.kernel.Service;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.ThreadDelay;
import org.apricotstand.route.CallerLimits;

/** Accepts the connections of callers; runs on the traffic thread. */
public final class CallerServer implements Service {

  private static final EventLog LOG = EventLog.of(CallerServer.class);
  private static final long SWEEP_INTERVAL_MS = 500;
  private static final long UNREADABLE_LINE_INTERVAL_MS = 1_000;
  // Callers stop choosing this instance after two failed readiness checks, one a second.
  private static final long LEAVE_ROTATION_MS = 2_600;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Supplier<CallerLimits> limits;
  private final CallHandler handler;
  private final Metrics metrics;
  private final MemoryLimiter memory;
  private final ThreadDelay delay;
  private final int maxConnections;
  private final ChannelGroup connections;
  private final InputTurns turns;

  /** Connections that have sent nothing yet, the oldest first. */
  private final Set<CallerConnection> unused = new LinkedHashSet<>();

  /** Connections without a request after their first one, that which is idle longest first. */
  private final Set<CallerConnection> idle = new LinkedHashSet<>();

  private volatile int activeRequests;
  private volatile long drainingSinceMs = Long.MAX_VALUE;
  private long nextUnreadableLineMs = Long.MIN_VALUE;
  private int unreadableWithoutLine;
  private Channel listener;

  /**
   * Creates a server that is not started.
   *
   * @param maxConnections open connections beyond which idle ones are closed
   */
  public CallerServer(
      EventLoop loop,
      InetSocketAddress address,
      Supplier<CallerLimits> limits,
      CallHandler handler,
      Metrics metrics,
      MemoryLimiter memory,
      int maxConnections) {
    this.loop = loop;
    this.address = address;
    this.limits = limits;
    this.handler = handler;
    this.metrics = metrics;
    this.memory = memory;
    this.delay = new ThreadDelay("traffic", SWEEP_INTERVAL_MS, metrics);
    this.maxConnections = maxConnections;
    this.connections = new DefaultChannelGroup(loop);
    this.turns = InputTurns.ofCallers(loop);
  }

  @Override
  public void start() {
    listener =
        ServerBootstraps.create(loop)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void accept(Channel channel) {
    if (connections.size() >= maxConnections && !closeLeastUsed()) {
      channel.close();
      return;
    }
    connections.add(channel);
    RequestDecoder decoder = new RequestDecoder(limits.get().maxHeaderBytes());
    InputGate gate = new InputGate(turns);
    CallerConnection connection = new CallerConnection(this, gate, decoder);
    unused.add(connection);
    channel
        .pipeline()
        .addLast(
            new FirstByteHandler(connection),
            gate,
            new FirstByteHandler(connection),
            decoder,
            gate.meter(),
            new HttpResponseEncoder(),
            connection);
  }

  /**
   * Records when a request begins to arrive, and drops input that is ignored. Stands before the
   * gate, for the bytes that it holds back, and behind it, for requests that follow another one in
   * the same read.
   */
  private static final class FirstByteHandler extends ChannelInboundHandlerAdapter {

    private final CallerConnection connection;

    FirstByteHandler(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (connection.isIgnoringInput()) {
        ReferenceCountUtil.release(message);
        return;
      }
      if (message instanceof ByteBuf bytes && !RequestDecoder.isSkipped(bytes)) {
        connection.recordFirstByte();
      }
      context.fireChannelRead(message);
    }
  }

  /**
   * Closes the connection that least likely carries a request that will be served: one that has
   * sent nothing, else the one that has been idle longest, else the one whose incomplete request
   * began first. One that is refused already goes last, since a close before its input has ended
   * can cost its caller the refusal. Returns false if all are owed answers.
   */
  private boolean closeLeastUsed() {
    Optional<CallerConnection> chosen =
        Stream.concat(unused.stream(), idle.stream())
            .filter(CallerConnection::owesNoAnswer)
            .findFirst()
            .or(this::longestArriving);
    chosen.ifPresent(
        connection -> {
          onConnectionBusy(connection);
          connection.closeUnserved();
        });
    memory.recordRejection("connections");
    return chosen.isPresent();
  }

  private Optional<CallerConnection> longestArriving() {
    return callerConnections().stream()
        .filter(CallerConnection::owesNoAnswer)
        .min(
            Comparator.comparing(CallerConnection::isIgnoringInput)
                .thenComparingLong(CallerConnection::arrivingSinceMs));
  }

  /** Records that a connection has no request, so that it may be closed for another one. */
  void onConnectionIdle(CallerConnection connection) {
    idle.add(connection);
  }

  /** Records that a connection has a request or is closed. */
  void onConnectionBusy(CallerConnection connection) {
    unused.remove(connection);
    idle.remove(connection);
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Starts to drain: from now on each answer closes its connection. */
  public void drain() {
    drainingSinceMs = ControlThread.nowMs();
  }

  /**
   * Accepts no more connections and requests. Closes the open connections: after their last answer,
   * or after a refusal if a request has arrived in part. Runs on the loop.
   */
  public void stopAccepting() {
    if (listener != null) {
      listener.close();
    }
    callerConnections().forEach(CallerConnection::stopReading);
  }

  /** Returns the number of open connections; runs on the loop. */
  public int openConnections() {
    return connections.size();
  }

  /**
   * Returns the number of connections with a request whose answer has not left; runs on the loop.
   */
  public int openRequests() {
    return (int) callerConnections().stream().filter(CallerConnection::hasOpenRequest).count();
  }

  /** Returns the number of requests in progress. */
  public int activeRequests() {
    return activeRequests;
  }

  CallerLimits limits() {
    return limits.get();
  }

  MemoryLimiter memory() {
    return memory;
  }

  CallHandler handler() {
    return handler;
  }

  boolean isDraining() {
    return drainingSinceMs != Long.MAX_VALUE;
  }

  boolean closesIdleConnections() {
    return isDraining() && ControlThread.nowMs() - drainingSinceMs > LEAVE_ROTATION_MS;
  }

  @SuppressWarnings("NonAtomicOperationOnVolatileField")
  void onRequestStarted() {
    activeRequests++;
  }

  @SuppressWarnings("NonAtomicOperationOnVolatileField")
  void onRequestEnded() {
    activeRequests--;
  }

  /** Counts a request that cannot be read, and logs at most one of them a second. */
  void recordUnreadableRequest(int status, String code) {
    metrics.count("caller.unreadable");
    long nowMs = ControlThread.nowMs();
    if (nowMs < nextUnreadableLineMs) {
      unreadableWithoutLine++;
      return;
    }
    LOG.info("request_unreadable", "status", status, "code", code, "others", unreadableWithoutLine);
    unreadableWithoutLine = 0;
    nextUnreadableLineMs = nowMs + UNREADABLE_LINE_INTERVAL_MS;
  }

  void recordFailedHandling(Throwable cause) {
    metrics.count("caller.handling_failed");
    LOG.warn("request_handling_failed", "error", cause.toString());
  }

  private void sweep() {
    long nowMs = ControlThread.nowMs();
    delay.record(nowMs);
    callerConnections().forEach(connection -> connection.sweep(nowMs));
    memory.releaseExcess();
    memory.publish();
  }

  /** Returns the open connections; runs on the loop. */
  List<CallerConnection> callerConnections() {
    return connections.stream()
        .map(channel -> channel.pipeline().get(CallerConnection.class))
        .filter(connection -> connection != null)
        .toList();
  }

  @Override
  public void stop() {
    if (listener != null) {
      listener.close().syncUninterruptibly();
    }
    connections.close().awaitUninterruptibly();
  }
}
