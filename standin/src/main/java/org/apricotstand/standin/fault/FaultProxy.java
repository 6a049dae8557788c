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
 * TCP proxy in front of one address. A fault applies to all connections, open and future ones,
 * until it is replaced; a fault of a {@link ProxyConnection} applies to that connection alone.
 *
 * <pre>{@code
 * FaultProxy proxy = FaultProxy.start(group, engineAddress);
 * proxy.set(Direction.TO_CALLER, Fault.hold());
 * proxy.heal();
 * }</pre>
 *
 * <p>A connection attempt during a {@link Fault#hold()} succeeds, as the proxy itself accepts it;
 * use {@link #refuse()} where the attempt must fail.
 */
public final class FaultProxy implements AutoCloseable {

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final Map<Direction, Fault> faults = new ConcurrentHashMap<>();
  private final List<ProxyConnection> connections = new CopyOnWriteArrayList<>();
  private volatile InetSocketAddress upstream;
  private Channel listener;
  private final AtomicInteger accepted = new AtomicInteger();

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

  /** Sets where new connections lead, for example after the process behind was restarted. */
  public void setUpstream(InetSocketAddress changed) {
    upstream = changed;
  }

  /** Replaces the fault of one direction for all connections. */
  public synchronized void set(Direction direction, Fault fault) {
    faults.put(direction, fault);
    connections.forEach(connection -> connection.set(direction, fault));
  }

  /** Passes everything on in both directions, and accepts connections. */
  public synchronized void heal() {
    set(Direction.TO_UPSTREAM, Fault.NONE);
    set(Direction.TO_CALLER, Fault.NONE);
    accept();
  }

  /** Keeps all bytes in both directions. */
  public synchronized void partition() {
    set(Direction.TO_UPSTREAM, Fault.hold());
    set(Direction.TO_CALLER, Fault.hold());
  }

  /** Resets all open connections. */
  public synchronized void cut() {
    connections.forEach(ProxyConnection::cut);
  }

  /** Refuses new connections; open ones go on. */
  public synchronized void refuse() {
    if (listener.isOpen()) {
      closeListener();
    }
  }

  /**
   * Closes the listener and waits until the system refuses connections: a selector gives a closed
   * socket back only at its next selection, which lies before the run of a later scheduled task.
   */
  private void closeListener() {
    listener.close().syncUninterruptibly();
    for (int selection = 0; selection < 2; selection++) {
      listener.eventLoop().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  /** Accepts new connections after {@link #refuse}. */
  public synchronized void accept() {
    if (!listener.isOpen()) {
      listener = bind(address);
    }
  }

  /** Returns the open connections in the order of their arrival. */
  public List<ProxyConnection> connections() {
    return List.copyOf(connections);
  }

  /** Returns the number of connections accepted since the start. */
  public int accepted() {
    return accepted.get();
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
                open(channel);
              }
            })
        .bind(local)
        .syncUninterruptibly()
        .channel();
  }

  // Takes no lock: it runs on an event loop that a caller of refuse or accept may be waiting for.
  private void open(Channel caller) {
    accepted.incrementAndGet();
    ProxyConnection connection = new ProxyConnection(caller);
    connections.add(connection);
    faults.forEach(connection::set);
    caller.closeFuture().addListener(closed -> connections.remove(connection));
    new Bootstrap()
        .group(caller.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelHandlerAdapter() {})
        .connect(upstream)
        .addListener(
            (ChannelFutureListener)
                done -> {
                  if (done.isSuccess()) {
                    connection.connected(done.channel());
                  } else {
                    connection.cut();
                  }
                });
  }

  @Override
  public synchronized void close() {
    refuse();
    cut();
  }
}
