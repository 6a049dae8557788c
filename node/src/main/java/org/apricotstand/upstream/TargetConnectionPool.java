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
import java.io.IOException;
import java.net.ConnectException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import jdk.net.ExtendedSocketOptions;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.input.InputGate;
import org.apricotstand.input.InputTurns;
import org.apricotstand.observe.EventLog;
import org.apricotstand.port.HeaderNames;

/**
 * Pools connections to targets and keeps their number within the limit of each target. Connections
 * in use, being opened, idle and being closed count towards it, except idle ones that are closed to
 * make room. Used on the traffic thread only.
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
  private final ToIntFunction<TargetEntry> maxConnections;
  private final InputTurns turns;
  private final TargetSockets sockets = new TargetSockets();
  private final Map<String, Deque<TargetConnection>> idleByIncarnation = new HashMap<>();
  private final Map<TargetConnection, Peer> peers = new HashMap<>();

  /** The incarnation of the target of a connection, and the socket that counts for it. */
  private record Peer(String incarnation, SocketChannel socket) {}

  /**
   * Creates an empty pool.
   *
   * @param loop event loop of the traffic thread
   * @param headerNames names of the headers in which targets echo the id and sign their answers
   * @param maxSkippedBytes bytes that a target may send before the answer to a request
   * @param maxConnections returns the number of connections that a target may have
   */
  public TargetConnectionPool(
      EventLoop loop,
      HeaderNames headerNames,
      int maxSkippedBytes,
      ToIntFunction<TargetEntry> maxConnections) {
    this.loop = loop;
    this.headerNames = headerNames;
    this.maxSkippedBytes = maxSkippedBytes;
    this.maxConnections = maxConnections;
    this.turns = InputTurns.of(loop);
  }

  /** Returns whether a request can be sent to a target within the limit of its connections. */
  public boolean canSend(TargetEntry target) {
    return !isFull(target) || idleByIncarnation.containsKey(target.incarnation());
  }

  private boolean isFull(TargetEntry target) {
    return sockets.isFull(target.incarnation(), maxConnections.applyAsInt(target));
  }

  /**
   * Sends a request on an idle connection, or on a new one when none is idle or when the request
   * has no id, by which its answer could be told from a late one to another request. Fails unless
   * {@link #canSend}.
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

  /** Opens a socket for a target, in place of its oldest idle connection if it has no room. */
  private SocketChannel openSocket(TargetEntry target) throws IOException {
    if (isFull(target)) {
      Deque<TargetConnection> idle = idleByIncarnation.get(target.incarnation());
      if (idle == null) {
        throw new IOException("connection limit reached for " + target.id());
      }
      closeIdle(target.incarnation(), idle.peekFirst());
    }
    return sockets.open(target.incarnation());
  }

  /**
   * Closes an idle connection, which stops counting at once: the target sees the close before a new
   * connection.
   */
  private void closeIdle(String incarnation, TargetConnection connection) {
    removeIdle(incarnation, connection);
    sockets.forget(incarnation, peers.get(connection).socket);
    connection.close();
  }

  private void removeIdle(String incarnation, TargetConnection connection) {
    Deque<TargetConnection> idle = idleByIncarnation.get(incarnation);
    if (idle != null && idle.remove(connection) && idle.isEmpty()) {
      idleByIncarnation.remove(incarnation);
    }
  }

  private Bootstrap bootstrap(SocketChannel socket, ChannelHandler handler) {
    return new Bootstrap()
        .group(loop)
        .channelFactory(() -> new NioSocketChannel(socket))
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, InputGate.READ_BUFFERS)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(handler);
  }

  private TargetConnection takeIdle(String incarnation) {
    long nowMs = ControlThread.nowMs();
    while (idleByIncarnation.containsKey(incarnation)) {
      TargetConnection candidate = idleByIncarnation.get(incarnation).peekLast();
      if (candidate.isUsable(nowMs)) {
        removeIdle(incarnation, candidate);
        return candidate;
      }
      closeIdle(incarnation, candidate);
    }
    return null;
  }

  private void open(
      TargetEntry target,
      TargetRequest request,
      AnswerListener listener,
      Predicate<TargetConnection> beforeSend) {
    SocketChannel socket;
    try {
      socket = openSocket(target);
    } catch (IOException e) {
      loop.execute(() -> listener.onFailure(new SendFailure.NotSent(String.valueOf(e))));
      return;
    }
    InputGate gate = new InputGate(turns);
    AnswerDecoder decoder = new AnswerDecoder(gate::recordHeaderLine);
    TargetConnection connection = new TargetConnection(this, gate, decoder);
    ChannelInitializer<Channel> pipeline =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            channel
                .pipeline()
                .addLast(gate, decoder, gate.meter(), new HttpRequestEncoder(), connection);
          }
        };
    bootstrap(socket, pipeline)
        .connect(target.host(), target.port())
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                listener.onFailure(new SendFailure.NotSent(String.valueOf(done.cause())));
                return;
              }
              peers.put(connection, new Peer(target.incarnation(), socket));
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
    SILENT,
    /** No connection was tried, since the target has as many as it may have. */
    NOT_TRIED
  }

  /** Tests how a target responds to a new connection, and passes the result to the consumer. */
  public void probe(TargetEntry target, Consumer<ProbeResult> result) {
    SocketChannel socket;
    try {
      socket = openSocket(target);
    } catch (IOException e) {
      loop.execute(() -> result.accept(ProbeResult.NOT_TRIED));
      return;
    }
    bootstrap(socket, new ChannelInboundHandlerAdapter())
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
    Peer peer = peers.get(connection);
    LOG.info(
        "unsolicited_bytes_dropped",
        "target",
        peer == null ? null : peer.incarnation,
        "request",
        last == null ? null : last.id(),
        "bytes",
        count);
  }

  void release(TargetConnection connection) {
    Peer peer = peers.get(connection);
    if (peer == null) {
      connection.close();
      return;
    }
    connection.setIdleUntil(ControlThread.nowMs(), MAX_IDLE_MS);
    idleByIncarnation
        .computeIfAbsent(peer.incarnation, key -> new ArrayDeque<>())
        .addLast(connection);
  }

  void onConnectionClosed(TargetConnection connection) {
    Peer peer = peers.remove(connection);
    if (peer != null) {
      removeIdle(peer.incarnation, connection);
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
    sockets.sweep();
  }
}
