package org.apricotstand.standin.fault;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Forwards the bytes, the end and the reset of one direction of a connection in order, subject to a
 * {@link Fault}. Confined to the event loop that both channels of the connection share.
 */
final class Forwarder extends ChannelInboundHandlerAdapter {

  /** Above this the source is not read, so that a held direction does not fill the memory. */
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;

  private enum Kind {
    BYTES,
    END,
    RESET
  }

  private record Item(Kind kind, ByteBuf bytes, long dueNanos) {}

  private final ProxyConnection connection;
  private final Queue<Item> queuedItems = new ArrayDeque<>();
  private Channel source;
  private Channel sink;
  private Fault fault = Fault.NONE;
  private long queuedBytes;
  private volatile long forwardedBytes;
  private boolean inputEnded;
  private boolean endForwarded;

  Forwarder(ProxyConnection connection) {
    this.connection = connection;
  }

  void setChannels(Channel newSource, Channel newSink) {
    source = newSource;
    sink = newSink;
  }

  void setFault(Fault newFault) {
    fault = newFault;
    if (source != null) {
      forwardDueItems();
    }
  }

  long forwardedBytes() {
    return forwardedBytes;
  }

  boolean hasForwardedEnd() {
    return endForwarded;
  }

  /** Forwards the items whose delay has passed. Called again when the sink becomes writable. */
  void forwardDueItems() {
    while (!queuedItems.isEmpty() && !fault.holdsBytes() && sink.isWritable()) {
      long waitNanos = queuedItems.peek().dueNanos() - System.nanoTime();
      if (waitNanos > 0) {
        source.eventLoop().schedule(this::forwardDueItems, waitNanos, TimeUnit.NANOSECONDS);
        return;
      }
      forward(queuedItems.poll());
    }
    source.config().setAutoRead(!fault.holdsBytes() && queuedBytes < MAX_QUEUED_BYTES);
  }

  void releaseQueuedBytes() {
    queuedItems.stream()
        .filter(item -> item.kind() == Kind.BYTES)
        .forEach(item -> item.bytes().release());
    queuedItems.clear();
  }

  private void forward(Item item) {
    switch (item.kind()) {
      case BYTES -> forwardBytes(item.bytes());
      case END -> {
        endForwarded = true;
        ((DuplexChannel) sink)
            .shutdownOutput()
            .addListener(future -> connection.onDirectionEnded());
      }
      case RESET -> connection.reset();
      default -> throw new IllegalStateException();
    }
  }

  private void forwardBytes(ByteBuf bytes) {
    int length = bytes.readableBytes();
    queuedBytes -= length;
    if (fault.resetsOnFirstByte()) {
      bytes.release();
      connection.reset();
      return;
    }
    long allowed = Math.min(length, fault.resetAfterBytes() - forwardedBytes);
    if (allowed < length) {
      forwardedBytes += Math.max(0, allowed);
      ByteBuf part = bytes.readRetainedSlice((int) Math.max(0, allowed));
      bytes.release();
      sink.writeAndFlush(part).addListener(future -> connection.reset());
      return;
    }
    forwardedBytes += length;
    sink.writeAndFlush(bytes);
  }

  private void enqueue(Kind kind, ByteBuf bytes) {
    if (inputEnded) {
      return;
    }
    inputEnded = kind != Kind.BYTES;
    queuedBytes += bytes == null ? 0 : bytes.readableBytes();
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.delayMs());
    queuedItems.add(new Item(kind, bytes, dueNanos));
    forwardDueItems();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (inputEnded) {
      ((ByteBuf) message).release();
    } else {
      enqueue(Kind.BYTES, (ByteBuf) message);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      enqueue(Kind.END, null);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    connection.onWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    enqueue(Kind.RESET, null);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // With half closure allowed, Netty reports a reset as an end of input after this call. Queueing
    // the reset first makes enqueue ignore that end.
    enqueue(Kind.RESET, null);
    context.close();
  }
}
