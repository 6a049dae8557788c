package org.apricotstand.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
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

/**
 * Opens and keeps connections to targets; belongs to the traffic thread.
 *
 * <pre>{@code
 * connections.send(target, request, listener, connection -> isWanted());
 * }</pre>
 */
public final class TargetConnections {

  private static final EventLog LOG = EventLog.of(TargetConnections.class);
  private static final int CONNECT_TIMEOUT_MS = 300;
  // A connection may go silent without a reset; a young one rarely has.
  private static final long MAX_IDLE_MS = 3_000;
  private static final int PROBE_IDLE_S = 2;
  private static final int PROBE_INTERVAL_S = 1;
  private static final int PROBE_COUNT = 3;

  private final EventLoop loop;
  private final String requestIdHeader;
  private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();
  private final Map<TargetConnection, String> keys = new HashMap<>();

  /**
   * Creates an empty pool.
   *
   * @param requestIdHeader header in which targets echo the id of a request
   */
  public TargetConnections(EventLoop loop, String requestIdHeader) {
    this.loop = loop;
    this.requestIdHeader = requestIdHeader;
  }

  /**
   * Sends a request on an idle or a new connection.
   *
   * @param connected gets the connection that is to carry the request, before any byte is sent, and
   *     returns whether the request is still wanted
   */
  public void send(
      TargetEntry target,
      TargetRequest request,
      AnswerListener listener,
      Predicate<TargetConnection> connected) {
    TargetConnection pooled = takeIdle(target.incarnation());
    if (pooled != null) {
      if (connected.test(pooled)) {
        pooled.send(request, listener);
      } else {
        release(pooled);
      }
      return;
    }
    open(target, request, listener, connected);
  }

  private Bootstrap bootstrap(ChannelHandler handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(handler);
  }

  private TargetConnection takeIdle(String key) {
    Deque<TargetConnection> waiting = idle.get(key);
    long nowMs = ControlThread.nowMs();
    while (waiting != null && !waiting.isEmpty()) {
      TargetConnection candidate = waiting.pollLast();
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
      Predicate<TargetConnection> connected) {
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
                listener.onBroken(new SendFailure.NotSent(String.valueOf(done.cause())));
                return;
              }
              keys.put(connection, target.incarnation());
              if (connected.test(connection)) {
                connection.send(request, listener);
              } else {
                release(connection);
              }
            });
  }

  /** Tells whether a target accepts a new connection. */
  public void probe(TargetEntry target, Consumer<Boolean> result) {
    bootstrap(new ChannelInboundHandlerAdapter())
        .connect(target.host(), target.port())
        .addListener(
            (ChannelFutureListener)
                done -> {
                  result.accept(done.isSuccess());
                  done.channel().close();
                });
  }

  String requestIdHeader() {
    return requestIdHeader;
  }

  void skipped(TargetRequest expected, String echoed, int status) {
    LOG.info(
        "foreign_answer_dropped", "request", expected.id(), "echoed", echoed, "status", status);
  }

  void release(TargetConnection connection) {
    String key = keys.get(connection);
    if (key == null) {
      connection.close();
      return;
    }
    connection.setIdleUntil(ControlThread.nowMs(), MAX_IDLE_MS);
    idle.computeIfAbsent(key, unseen -> new ArrayDeque<>()).addLast(connection);
  }

  void closed(TargetConnection connection) {
    String key = keys.remove(connection);
    Deque<TargetConnection> waiting = key == null ? null : idle.get(key);
    if (waiting != null) {
      waiting.remove(connection);
    }
  }

  /** Closes idle connections that are no longer usable, and those of targets that are gone. */
  public void sweep(Set<String> liveIncarnations) {
    long nowMs = ControlThread.nowMs();
    for (Map.Entry<String, Deque<TargetConnection>> entry : idle.entrySet()) {
      boolean live = liveIncarnations.contains(entry.getKey());
      entry.getValue().stream()
          .filter(connection -> !live || !connection.isUsable(nowMs))
          .toList()
          .forEach(TargetConnection::close);
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
