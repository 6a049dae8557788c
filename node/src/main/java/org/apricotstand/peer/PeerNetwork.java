package org.apricotstand.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.apricotstand.control.ControlThread;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;

/**
 * Sends messages to other instances and receives theirs. A link is opened when the first message
 * needs it, and serves both directions.
 *
 * <pre>{@code
 * peers.listen(listener);
 * boolean queued = peers.send(peer, new PeerMessage.RouteCancel(id, 1));
 * }</pre>
 */
public final class PeerNetwork implements Service, PeerSender {

  /** Largest frame. */
  static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private static final EventLog LOG = EventLog.of(PeerNetwork.class);
  private static final AttributeKey<PeerMessage.Hello> FROM = AttributeKey.valueOf("peer.hello");
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final EventLoopGroup group;
  private final InetSocketAddress bindAddress;
  private final PeerMessage.Hello hello;
  private final Function<InstanceId, InetSocketAddress> addressOf;
  private final ControlThread control;
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<InstanceId, Long> incarnations = new ConcurrentHashMap<>();
  private final io.netty.channel.group.ChannelGroup channels =
      new io.netty.channel.group.DefaultChannelGroup(
          io.netty.util.concurrent.GlobalEventExecutor.INSTANCE);
  private Channel server;

  /**
   * Creates the network of one instance.
   *
   * @param hello what this instance says of itself
   * @param addressOf address of a peer, or null when unknown
   */
  public PeerNetwork(
      EventLoopGroup group,
      InetSocketAddress bindAddress,
      PeerMessage.Hello hello,
      Function<InstanceId, InetSocketAddress> addressOf,
      ControlThread control) {
    this.group = group;
    this.bindAddress = bindAddress;
    this.hello = hello;
    this.addressOf = addressOf;
    this.control = control;
  }

  /** Adds a listener for all messages. */
  public void listen(PeerListener listener) {
    listeners.add(listener);
  }

  @Override
  public void start() {
    server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer())
            .bind(bindAddress)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the address that peers connect to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /**
   * {@inheritDoc}
   *
   * <p>Opens a link when there is none. Messages sent while a link opens wait for it; they are lost
   * when it cannot be opened, which listeners see as a closed link.
   */
  @Override
  public boolean send(InstanceId peer, PeerMessage message) {
    PeerLink link = links.computeIfAbsent(peer, this::open);
    if (link == null) {
      return false;
    }
    link.send(message);
    return true;
  }

  /** Returns the peers with an open link. */
  public List<InstanceId> connected() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().isOpen())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Returns whether the link to a peer takes more bytes without growing a buffer. */
  public boolean isWritable(InstanceId peer) {
    PeerLink link = links.get(peer);
    return link != null && link.isWritable();
  }

  /** Closes the link to a peer, for example because it is half open. */
  public void disconnect(InstanceId peer) {
    PeerLink link = links.get(peer);
    if (link != null) {
      linkClosed(peer, link);
    }
  }

  /** Closes the links that carried nothing but heartbeats for a time and are not to be kept. */
  public void closeUnused(Set<InstanceId> kept, long unusedMs) {
    long nowMs = ControlThread.nowMs();
    links.entrySet().stream()
        .filter(entry -> !kept.contains(entry.getKey()))
        .filter(entry -> nowMs - entry.getValue().lastUsedMs() >= unusedMs)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::disconnect);
  }

  private PeerLink open(InstanceId peer) {
    InetSocketAddress address = addressOf.apply(peer);
    if (address == null) {
      return null;
    }
    PeerLink link = new PeerLink(peer);
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(initializer())
            .connect(address);
    connecting.addListener(
        (ChannelFutureListener)
            done -> {
              if (!done.isSuccess()) {
                LOG.debug("peer_connect_failed", "peer", peer, "address", address);
                linkClosed(peer, link);
              } else {
                done.channel().closeFuture().addListener(closed -> linkClosed(peer, link));
                // Netty completes the connect future before channelActive, which sends the
                // greeting.
                // The greeting must be the first message, so the waiting ones follow it.
                done.channel().eventLoop().execute(() -> link.attach(done.channel()));
              }
            });
    return link;
  }

  private ChannelInitializer<Channel> initializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        channels.add(channel);
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new PeerCodec())
            .addLast(new PeerHandler(hello, PeerNetwork.this));
      }
    };
  }

  /**
   * Called when the other side of a channel said who it is.
   *
   * @return false when a newer process has its name; the channel closes then
   */
  boolean greeted(Channel channel, PeerMessage.Hello from) {
    InstanceId peer = new InstanceId(from.instance());
    long newest = incarnations.merge(peer, from.incarnation(), Math::max);
    if (from.incarnation() < newest) {
      LOG.warn(
          "peer_refused", "peer", peer, "reason", "replaced", "incarnation", from.incarnation());
      channel.close();
      return false;
    }
    channel.attr(FROM).set(from);
    channels.stream()
        .filter(other -> other.hasAttr(FROM) && other.attr(FROM).get() != null)
        .filter(other -> other.attr(FROM).get().instance().equals(from.instance()))
        .filter(other -> other.attr(FROM).get().incarnation() < newest)
        .forEach(Channel::close);
    PeerLink existing = links.get(peer);
    if (existing == null || !existing.isOpen()) {
      PeerLink link = new PeerLink(peer);
      if (links.putIfAbsent(peer, link) == null) {
        channel.closeFuture().addListener(closed -> linkClosed(peer, link));
        link.attach(channel);
      }
    }
    control.execute(() -> listeners.forEach(listener -> listener.onHello(peer, from)));
    return true;
  }

  /** Called for each message after the greeting. */
  void received(InstanceId from, PeerMessage message) {
    PeerLink link = links.get(from);
    if (link != null && !(message instanceof PeerMessage.Heartbeat)) {
      link.used();
    }
    if (listeners.stream().anyMatch(listener -> listener.onTraffic(from, message))) {
      return;
    }
    control.execute(() -> listeners.forEach(listener -> listener.onMessage(from, message)));
  }

  private void linkClosed(InstanceId peer, PeerLink link) {
    if (links.remove(peer, link)) {
      link.close();
      control.execute(() -> listeners.forEach(listener -> listener.onLinkClosed(peer)));
    }
  }

  @Override
  public void stop() {
    if (server != null) {
      server.close().syncUninterruptibly();
    }
    channels.close().awaitUninterruptibly();
  }
}
