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

  private final Channel serverChannel;
  private final ChannelGroup connections;

  private HttpServer(Channel serverChannel, ChannelGroup connections) {
    this.serverChannel = serverChannel;
    this.connections = connections;
  }

  /** Starts a server that passes requests to the handler. Port 0 selects a free port. */
  public static HttpServer start(
      EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
    ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    Channel serverChannel =
        ServerBootstraps.create(group)
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
    return new HttpServer(serverChannel, connections);
  }

  private static void addHandlers(Channel channel, HttpLimits limits, HttpHandler handler) {
    HttpDecoderConfig decoder =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes());
    RequestReadTimeout readTimeout = new RequestReadTimeout(limits.requestReadTimeoutMs());
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMs(), TimeUnit.MILLISECONDS))
        .addLast(readTimeout)
        .addLast(new HttpServerCodec(decoder))
        .addLast(new RequestEndHandler(readTimeout))
        .addLast(new BodyCollector(limits.maxBodyBytes()))
        .addLast(new HttpConnection(handler));
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
