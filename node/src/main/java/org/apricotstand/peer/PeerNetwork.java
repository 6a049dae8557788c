package org.apricotstand.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.apricotstand.control.ControlThread;
import org.apricotstand.kernel.Service;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.EventLog;

/**
 * Sends messages to other instances and receives theirs. A link is opened by the first message to a
 * peer and is used in both directions.
 *
 * <pre>{@code
 * peers.addListener(listener);
 * boolean queued = peers.send(peer, new PeerMessage.RouteCancel(id, 1));
 * }</pre>
 */
public final class PeerNetwork implements Service, PeerLinks {

  /** Time that a stop waits for peers to take what was written to them. */
  private static final long FLUSH_TIMEOUT_MS = 1_000;

  /** Maximum length of a frame; a connection that sends a longer one is closed. */
  static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

  private static final EventLog LOG = EventLog.of(PeerNetwork.class);
  private static final AttributeKey<PeerMessage.Hello> HELLO_ATTRIBUTE =
      AttributeKey.valueOf("peer.hello");
  private static final int LENGTH_BYTES = 4;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final EventLoopGroup group;
  private final InetSocketAddress bindAddress;
  private final PeerMessage.Hello ownHello;
  private final Function<InstanceId, InetSocketAddress> addressOf;
  private final ControlThread control;
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();

  /** Links that the current task of the control thread wrote to; used on that thread only. */
  private final Set<PeerLink> unflushedLinks = new LinkedHashSet<>();

  private final Map<InstanceId, Long> newestIncarnations = new ConcurrentHashMap<>();
  private final io.netty.channel.group.ChannelGroup channels =
      new io.netty.channel.group.DefaultChannelGroup(
          io.netty.util.concurrent.GlobalEventExecutor.INSTANCE);
  private Channel serverChannel;

  /**
   * Creates the network of one instance.
   *
   * @param ownHello first message on each connection, which identifies this instance
   * @param addressOf returns the address of a peer, or null if it is unknown
   */
  public PeerNetwork(
      EventLoopGroup group,
      InetSocketAddress bindAddress,
      PeerMessage.Hello ownHello,
      Function<InstanceId, InetSocketAddress> addressOf,
      ControlThread control) {
    this.group = group;
    this.bindAddress = bindAddress;
    this.ownHello = ownHello;
    this.addressOf = addressOf;
    this.control = control;
  }

  /** Adds a listener for the messages and links of all peers. */
  public void addListener(PeerListener listener) {
    listeners.add(listener);
  }

  @Override
  public void start() {
    serverChannel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(channelInitializer())
            .bind(bindAddress)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the address that peers connect to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /**
   * {@inheritDoc}
   *
   * <p>Opens a link if there is none. Messages that are sent while a link opens are queued. If it
   * cannot be opened, they are lost and {@link PeerListener#onLinkClosed} is called.
   */
  @Override
  public boolean send(InstanceId peer, PeerMessage message) {
    PeerLink link = links.computeIfAbsent(peer, this::openLink);
    if (link == null) {
      return false;
    }
    link.send(message);
    flush(link);
    return true;
  }

  @Override
  public void sendToAll(Collection<InstanceId> receivers, PeerMessage message) {
    if (receivers.size() <= 1) {
      receivers.forEach(peer -> send(peer, message));
      return;
    }
    byte[] encoded = encode(message);
    receivers.stream()
        .map(peer -> links.computeIfAbsent(peer, this::openLink))
        .filter(Objects::nonNull)
        .forEach(
            link -> {
              link.sendEncoded(encoded);
              flush(link);
            });
  }

  /**
   * Sends what was written to a link. What a task of the control thread wrote is sent together
   * after the task, since each transfer to the event loop and each write to a socket is a system
   * call.
   */
  private void flush(PeerLink link) {
    if (!control.isCurrent()) {
      link.flush();
      return;
    }
    if (unflushedLinks.isEmpty()) {
      control.executeAtTaskEnd(this::flushAll);
    }
    unflushedLinks.add(link);
  }

  private void flushAll() {
    List<PeerLink> written = List.copyOf(unflushedLinks);
    unflushedLinks.clear();
    group.next().execute(() -> written.forEach(PeerLink::flush));
  }

  private static byte[] encode(PeerMessage message) {
    try {
      return PeerCodec.toBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("message cannot be encoded: " + message, e);
    }
  }

  /** Returns the peers with an open link, sorted. */
  public List<InstanceId> connectedPeers() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().isOpen())
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Returns whether there is a link to the peer whose send buffer is below its limit. */
  public boolean isWritable(InstanceId peer) {
    PeerLink link = links.get(peer);
    return link != null && link.isWritable();
  }

  @Override
  public void disconnect(InstanceId peer) {
    PeerLink link = links.get(peer);
    if (link != null) {
      closeLink(peer, link);
    }
  }

  @Override
  public void closeIdleLinks(Set<InstanceId> peersToKeep, long minIdleMs) {
    long nowMs = ControlThread.nowMs();
    links.entrySet().stream()
        .filter(entry -> !peersToKeep.contains(entry.getKey()))
        .filter(entry -> nowMs - entry.getValue().lastUsedMs() >= minIdleMs)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::disconnect);
  }

  private PeerLink openLink(InstanceId peer) {
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
            .handler(channelInitializer())
            .connect(address);
    connecting.addListener(
        (ChannelFutureListener)
            done -> {
              if (!done.isSuccess()) {
                LOG.debug("peer_connect_failed", "peer", peer, "address", address);
                closeLink(peer, link);
              } else {
                done.channel().closeFuture().addListener(closed -> closeLink(peer, link));
                // Hello must be the first message on the channel. Netty completes the connect
                // future before it calls channelActive, which sends Hello, so the queued messages
                // are sent by a later task.
                done.channel().eventLoop().execute(() -> link.attach(done.channel()));
              }
            });
    return link;
  }

  private ChannelInitializer<Channel> channelInitializer() {
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
            .addLast(new PeerHandler(ownHello, PeerNetwork.this));
      }
    };
  }

  /**
   * Registers the peer that has identified itself on a channel, and closes the channels of former
   * processes of that peer.
   *
   * @return false if a newer process of that name is known; the channel is closed then
   */
  boolean acceptHello(Channel channel, PeerMessage.Hello hello) {
    InstanceId peer = new InstanceId(hello.instance());
    long newest = newestIncarnations.merge(peer, hello.incarnation(), Math::max);
    if (hello.incarnation() < newest) {
      LOG.warn(
          "peer_refused", "peer", peer, "reason", "replaced", "incarnation", hello.incarnation());
      channel.close();
      return false;
    }
    channel.attr(HELLO_ATTRIBUTE).set(hello);
    channels.stream()
        .filter(
            other -> other.hasAttr(HELLO_ATTRIBUTE) && other.attr(HELLO_ATTRIBUTE).get() != null)
        .filter(other -> other.attr(HELLO_ATTRIBUTE).get().instance().equals(hello.instance()))
        .filter(other -> other.attr(HELLO_ATTRIBUTE).get().incarnation() < newest)
        .forEach(Channel::close);
    PeerLink existing = links.get(peer);
    if (existing == null || !existing.isOpen()) {
      PeerLink link = new PeerLink(peer);
      if (links.putIfAbsent(peer, link) == null) {
        channel.closeFuture().addListener(closed -> closeLink(peer, link));
        link.attach(channel);
      }
    }
    control.execute(() -> listeners.forEach(listener -> listener.onHello(peer, hello)));
    return true;
  }

  /** Passes a message that followed the Hello of a peer to the listeners. */
  void dispatch(InstanceId from, PeerMessage message) {
    PeerLink link = links.get(from);
    if (link != null && !(message instanceof PeerMessage.Heartbeat)) {
      link.recordUse();
    }
    if (listeners.stream().anyMatch(listener -> listener.handleOnLinkThread(from, message))) {
      return;
    }
    control.execute(() -> listeners.forEach(listener -> listener.onMessage(from, message)));
  }

  private void closeLink(InstanceId peer, PeerLink link) {
    if (links.remove(peer, link)) {
      link.close();
      control.execute(() -> listeners.forEach(listener -> listener.onLinkClosed(peer)));
    }
  }

  @Override
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close().syncUninterruptibly();
    }
    channels.forEach(PeerNetwork::closeAfterFlush);
    channels.newCloseFuture().awaitUninterruptibly(FLUSH_TIMEOUT_MS);
    channels.close().awaitUninterruptibly();
  }

  /** Closes a connection after what was written to it, such as the end of an answer. */
  private static void closeAfterFlush(Channel channel) {
    ChannelHandlerContext first = channel.pipeline().firstContext();
    if (first == null) {
      channel.close();
    } else {
      // Starts at the first handler, since those behind it would encode the empty buffer.
      first.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
