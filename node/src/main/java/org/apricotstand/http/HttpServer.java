package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

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

  private final Channel listener;
  private final ChannelGroup connections;

  private HttpServer(Channel listener, ChannelGroup connections) {
    this.listener = listener;
    this.connections = connections;
  }

  /** Binds the address and answers requests with the handler. Port 0 takes a free port. */
  public static HttpServer start(
      EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    Channel listener =
        ServerBootstraps.onLoops(group)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    if (connections.size() >= limits.maxConnections()) {
                      channel.close();
                      return;
                    }
                    connections.add(channel);
                    addHandlers(channel, limits, handler);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
    return new HttpServer(listener, connections);
  }

  private static void addHandlers(Channel channel, HttpLimits limits, HttpHandler handler) {
    HttpDecoderConfig decoder =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes());
    RequestDeadline requestDeadline = new RequestDeadline(limits.requestMs());
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, limits.idleMs(), TimeUnit.MILLISECONDS))
        .addLast(requestDeadline)
        .addLast(new HttpServerCodec(decoder))
        .addLast(new RequestEnd(requestDeadline))
        .addLast(new BodyCollector(limits.maxBodyBytes()))
        .addLast(new HttpConnection(handler));
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Stops accepting connections; open ones go on. */
  public void stopAccepting() {
    listener.close().syncUninterruptibly();
  }

  /** Stops accepting connections; open ones end with the answer in progress. */
  public void drain() {
    stopAccepting();
    for (Channel channel : connections) {
      HttpConnection connection = channel.pipeline().get(HttpConnection.class);
      if (connection != null) {
        channel.eventLoop().execute(connection::drain);
      }
    }
  }

  /** Returns whether no connection is open. */
  public boolean isIdle() {
    return connections.isEmpty();
  }

  /** Closes the listener and all connections. */
  @Override
  public void close() {
    stopAccepting();
    connections.close().awaitUninterruptibly();
  }
}
