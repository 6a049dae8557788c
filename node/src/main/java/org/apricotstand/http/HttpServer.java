package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apricotstand.input.InputGate;
import org.apricotstand.input.InputTurns;

/**
 * HTTP/1.0 and HTTP/1.1 server.
 *
 * <pre>{@code
 * HttpServer server = HttpServer.start(group, address, HttpLimits.DEFAULT, exchange ->
 *     exchange.respondJson(200, "{}"));
 * }</pre>
 */
public final class HttpServer implements AutoCloseable {

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;

  private final HttpLimits limits;
  private final HttpMemory memory;
  private final HttpHandler handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<EventLoop, InputTurns> turnsByLoop = new ConcurrentHashMap<>();
  private volatile boolean draining;
  private Channel serverChannel;

  private HttpServer(HttpLimits limits, HttpMemory memory, HttpHandler handler) {
    this.limits = limits;
    this.memory = memory;
    this.handler = handler;
  }

  /** Starts a server that passes requests to the handler. Port 0 selects a free port. */
  public static HttpServer start(
      EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
    return start(group, address, limits, HttpMemory.unlimited(), handler);
  }

  /** Starts a server whose connections share a memory with others. */
  public static HttpServer start(
      EventLoopGroup group,
      InetSocketAddress address,
      HttpLimits limits,
      HttpMemory memory,
      HttpHandler handler) {
    HttpServer server = new HttpServer(limits, memory, handler);
    server.serverChannel = server.bind(group, address);
    return server;
  }

  private Channel bind(EventLoopGroup group, InetSocketAddress address) {
    return ServerBootstraps.create(group)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(new AcceptHandler())
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initConnection(channel);
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Counts each connection within the limit as open when it is accepted. Its own event loop, which
   * initializes it, may be busy for some time.
   */
  private final class AcceptHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (connections.size() < limits.maxConnections()) {
        connections.add((Channel) message);
      }
      context.fireChannelRead(message);
    }
  }

  private void initConnection(Channel channel) {
    if (!connections.contains(channel)) {
      channel.close();
      return;
    }
    InputGate gate =
        new InputGate(turnsByLoop.computeIfAbsent(channel.eventLoop(), InputTurns::ofCallers));
    HttpConnection connection = new HttpConnection(handler, memory, gate);
    addHandlers(channel, gate, connection);
    if (draining) {
      connection.drain();
    }
  }

  private void addHandlers(Channel channel, InputGate gate, HttpConnection connection) {
    RequestMemory requestMemory = new RequestMemory(connection.account(), limits.maxBodyBytes());
    HttpDecoderConfig decoder =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setHeadersFactory(requestMemory)
            .setTrailersFactory(requestMemory);
    RequestReadTimeout readTimeout = new RequestReadTimeout(limits.requestReadTimeoutMs());
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMs(), TimeUnit.MILLISECONDS))
        .addLast(readTimeout)
        .addLast(gate)
        .addLast(new HttpServerCodec(decoder))
        .addLast(gate.meter())
        .addLast(new RequestEndHandler(readTimeout))
        .addLast(requestMemory)
        .addLast(new BodyCollector(limits.maxBodyBytes()))
        .addLast(connection);
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Stops accepting connections; open ones remain usable. */
  public void stopAccepting() {
    serverChannel.close().syncUninterruptibly();
  }

  /** Stops accepting connections; open ones are closed after the answer in progress. */
  public void drain() {
    draining = true;
    stopAccepting();
    for (Channel channel : connections) {
      HttpConnection connection = channel.pipeline().get(HttpConnection.class);
      if (connection != null) {
        channel.eventLoop().execute(connection::drain);
      }
    }
  }

  /** Returns true if no connection is open. */
  public boolean isIdle() {
    return connections.isEmpty();
  }

  /** Stops accepting connections and closes all open ones. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }
}
