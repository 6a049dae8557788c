package org.apricotstand.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import jdk.net.ExtendedSocketOptions;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.observe.EventLog;
import org.apricotstand.port.HeaderNames;

/**
 * Pools connections to targets; used on the traffic thread only.
 *
 * <pre>{@code
 * connections.send(target, request, listener, connection -> isWanted());
 * }</pre>
 */
public final class TargetConnectionPool {

  private static final EventLog LOG = EventLog.of(TargetConnectionPool.class);
  private static final int CONNECT_TIMEOUT_MS = 300;
  // A connection can be lost without a reset; the shorter it was idle, the less likely that is.
  private static final long MAX_IDLE_MS = 3_000;
  // TCP keep-alive probes.
  private static final int KEEPALIVE_IDLE_S = 2;
  private static final int KEEPALIVE_INTERVAL_S = 1;
  private static final int KEEPALIVE_PROBES = 3;

  private final EventLoop loop;
  private final HeaderNames headerNames;
  private final int maxSkippedBytes;
  private final Map<String, Deque<TargetConnection>> idleByIncarnation = new HashMap<>();
  private final Map<TargetConnection, String> incarnations = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param loop event loop of the traffic thread
   * @param headerNames names of the headers in which targets echo the id and sign their answers
   * @param maxSkippedBytes bytes that a target may send before the answer to a request
   */
  public TargetConnectionPool(EventLoop loop, HeaderNames headerNames, int maxSkippedBytes) {
    this.loop = loop;
    this.headerNames = headerNames;
    this.maxSkippedBytes = maxSkippedBytes;
  }

  /**
   * Sends a request on an idle connection, or on a new one when none is idle or when the request
   * has no id, by which its answer could be told from a late one to another request.
   *
   * @param beforeSend receives the connection before any byte is sent, and returns whether the
   *     request is still to be sent
   */
  public void send(
      TargetEntry target,
      TargetRequest request,
      AnswerListener listener,
      Predicate<TargetConnection> beforeSend) {
    TargetConnection pooled = request.id() == null ? null : takeIdle(target.incarnation());
    if (pooled != null) {
      if (beforeSend.test(pooled)) {
        pooled.send(request, listener);
      } else {
        release(pooled);
      }
      return;
    }
    open(target, request, listener, beforeSend);
  }

  private Bootstrap bootstrap(ChannelHandler handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(handler);
  }

  private TargetConnection takeIdle(String incarnation) {
    Deque<TargetConnection> idle = idleByIncarnation.get(incarnation);
    long nowMs = ControlThread.nowMs();
    while (idle != null && !idle.isEmpty()) {
      TargetConnection candidate = idle.pollLast();
      if (candidate.isUsable(nowMs)) {
        return candidate;
      }
      candidate.close();
    }
    return null;
  }

  private void open(
      TargetEntry target,
      TargetRequest request,
      AnswerListener listener,
      Predicate<TargetConnection> beforeSend) {
    AnswerDecoder decoder = new AnswerDecoder();
    TargetConnection connection = new TargetConnection(this, decoder);
    ChannelInitializer<Channel> pipeline =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
          }
        };
    bootstrap(pipeline)
        .connect(target.host(), target.port())
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                listener.onFailure(new SendFailure.NotSent(String.valueOf(done.cause())));
                return;
              }
              incarnations.put(connection, target.incarnation());
              if (beforeSend.test(connection)) {
                connection.send(request, listener);
              } else {
                release(connection);
              }
            });
  }

  /** How a target responds to a new connection. */
  public enum ProbeResult {
    /** A process accepts connections at the address. */
    ACCEPTED,
    /** The host is up and no process accepts connections at the address. */
    REFUSED,
    /** The target does not respond, or cannot be reached. */
    SILENT
  }

  /** Tests how a target responds to a new connection, and passes the result to the consumer. */
  public void probe(TargetEntry target, Consumer<ProbeResult> result) {
    bootstrap(new ChannelInboundHandlerAdapter())
        .connect(target.host(), target.port())
        .addListener(
            (ChannelFutureListener)
                done -> {
                  result.accept(toProbeResult(done));
                  done.channel().close();
                });
  }

  private static ProbeResult toProbeResult(ChannelFuture connect) {
    if (connect.isSuccess()) {
      return ProbeResult.ACCEPTED;
    }
    boolean isRefused =
        connect.cause() instanceof ConnectException
            && !(connect.cause() instanceof ConnectTimeoutException);
    return isRefused ? ProbeResult.REFUSED : ProbeResult.SILENT;
  }

  int maxSkippedBytes() {
    return maxSkippedBytes;
  }

  HeaderNames headerNames() {
    return headerNames;
  }

  void logDroppedAnswer(TargetRequest expected, String echoed, int status) {
    LOG.info(
        "foreign_answer_dropped", "request", expected.id(), "echoed", echoed, "status", status);
  }

  void logUnsolicitedBytes(TargetConnection connection, TargetRequest last, int count) {
    LOG.info(
        "unsolicited_bytes_dropped",
        "target",
        incarnations.get(connection),
        "request",
        last == null ? null : last.id(),
        "bytes",
        count);
  }

  void release(TargetConnection connection) {
    String incarnation = incarnations.get(connection);
    if (incarnation == null) {
      connection.close();
      return;
    }
    connection.setIdleUntil(ControlThread.nowMs(), MAX_IDLE_MS);
    idleByIncarnation.computeIfAbsent(incarnation, key -> new ArrayDeque<>()).addLast(connection);
  }

  void onConnectionClosed(TargetConnection connection) {
    String incarnation = incarnations.remove(connection);
    Deque<TargetConnection> idle = incarnation == null ? null : idleByIncarnation.get(incarnation);
    if (idle != null) {
      idle.remove(connection);
    }
  }

  /** Closes idle connections that are no longer usable or whose target is not in the given set. */
  public void sweep(Set<String> liveIncarnations) {
    long nowMs = ControlThread.nowMs();
    for (Map.Entry<String, Deque<TargetConnection>> entry : idleByIncarnation.entrySet()) {
      boolean live = liveIncarnations.contains(entry.getKey());
      entry.getValue().stream()
          .filter(connection -> !live || !connection.isUsable(nowMs))
          .toList()
          .forEach(TargetConnection::close);
    }
    idleByIncarnation.values().removeIf(Deque::isEmpty);
  }
}
