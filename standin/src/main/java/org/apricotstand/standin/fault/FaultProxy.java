package org.apricotstand.standin.fault;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TCP proxy that forwards connections to one address and injects faults. A fault applies to all
 * open and future connections until it is replaced; a fault set on a {@link ProxyConnection}
 * applies to that connection only.
 *
 * <pre>{@code
 * FaultProxy proxy = FaultProxy.start(group, engineAddress);
 * proxy.setFault(Direction.TO_CLIENT, Fault.hold());
 * proxy.heal();
 * }</pre>
 *
 * <p>A connection attempt during a {@link Fault#hold()} succeeds, because the proxy itself accepts
 * it; use {@link #refuseConnections()} where the attempt must fail.
 */
public final class FaultProxy implements AutoCloseable {

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final Map<Direction, Fault> faultByDirection = new ConcurrentHashMap<>();
  private final List<ProxyConnection> connections = new CopyOnWriteArrayList<>();
  private volatile InetSocketAddress upstream;
  private Channel listener;
  private final AtomicInteger acceptedCount = new AtomicInteger();

  private FaultProxy(EventLoopGroup group, InetSocketAddress upstream) {
    this.group = group;
    this.upstream = upstream;
    this.listener = bind(new InetSocketAddress("127.0.0.1", 0));
    this.address = (InetSocketAddress) listener.localAddress();
    heal();
  }

  /** Starts a proxy on a free loopback port. */
  public static FaultProxy start(EventLoopGroup group, InetSocketAddress upstream) {
    return new FaultProxy(group, upstream);
  }

  /** Returns the address that the proxy listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /** Sets the address that new connections lead to, for example after the upstream restarted. */
  public void setUpstream(InetSocketAddress newUpstream) {
    upstream = newUpstream;
  }

  /** Replaces the fault of one direction for all connections. */
  public synchronized void setFault(Direction direction, Fault fault) {
    faultByDirection.put(direction, fault);
    connections.forEach(connection -> connection.setFault(direction, fault));
  }

  /** Removes the faults of both directions and accepts new connections again. */
  public synchronized void heal() {
    setFault(Direction.TO_UPSTREAM, Fault.NONE);
    setFault(Direction.TO_CLIENT, Fault.NONE);
    acceptConnections();
  }

  /** Holds all bytes in both directions until a later fault or {@link #heal} releases them. */
  public synchronized void partition() {
    setFault(Direction.TO_UPSTREAM, Fault.hold());
    setFault(Direction.TO_CLIENT, Fault.hold());
  }

  /** Resets all open connections. */
  public synchronized void resetConnections() {
    connections.forEach(ProxyConnection::reset);
  }

  /** Refuses new connections; open ones are kept. */
  public synchronized void refuseConnections() {
    if (listener.isOpen()) {
      closeListener();
    }
  }

  /**
   * Closes the listener and waits until the operating system refuses connections. A selector
   * releases a closed socket only at its next selection, and the event loop selects before it runs
   * a scheduled task, so this waits for such tasks.
   */
  private void closeListener() {
    listener.close().syncUninterruptibly();
    for (int selection = 0; selection < 2; selection++) {
      listener.eventLoop().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  /** Accepts new connections after {@link #refuseConnections}. */
  public synchronized void acceptConnections() {
    if (!listener.isOpen()) {
      listener = bind(address);
    }
  }

  /** Returns the open connections in the order in which they were accepted. */
  public List<ProxyConnection> connections() {
    return List.copyOf(connections);
  }

  /** Returns the number of connections accepted since the start. */
  public int acceptedCount() {
    return acceptedCount.get();
  }

  private Channel bind(InetSocketAddress local) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connectUpstream(channel);
              }
            })
        .bind(local)
        .syncUninterruptibly()
        .channel();
  }

  // Takes no lock: a thread in refuseConnections or acceptConnections may hold the lock while it
  // waits for the event loop that runs this.
  private void connectUpstream(Channel client) {
    acceptedCount.incrementAndGet();
    ProxyConnection connection = new ProxyConnection(client);
    connections.add(connection);
    faultByDirection.forEach(connection::setFault);
    client.closeFuture().addListener(future -> connections.remove(connection));
    new Bootstrap()
        .group(client.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelHandlerAdapter() {})
        .connect(upstream)
        .addListener(
            (ChannelFutureListener)
                future -> {
                  if (future.isSuccess()) {
                    connection.onUpstreamConnected(future.channel());
                  } else {
                    connection.reset();
                  }
                });
  }

  @Override
  public synchronized void close() {
    refuseConnections();
    resetConnections();
  }
}
