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
 * Passes one direction of a connection on, in order, subject to a {@link Fault}. Confined to the
 * event loop that both channels of the connection share.
 */
final class Forwarder extends ChannelInboundHandlerAdapter {

  /** Beyond this the source is not read, so that a held direction does not grow a buffer. */
  private static final long MAX_QUEUED_BYTES = 1024 * 1024;

  private enum Kind {
    BYTES,
    END,
    RESET
  }

  private record Item(Kind kind, ByteBuf bytes, long dueNanos) {}

  private final ProxyConnection connection;
  private final Queue<Item> queue = new ArrayDeque<>();
  private Channel source;
  private Channel sink;
  private Fault fault = Fault.NONE;
  private long queuedBytes;
  private volatile long passedBytes;
  private boolean ended;
  private boolean passedEnd;

  Forwarder(ProxyConnection connection) {
    this.connection = connection;
  }

  void connect(Channel from, Channel to) {
    source = from;
    sink = to;
  }

  void set(Fault changed) {
    fault = changed;
    if (source != null) {
      drain();
    }
  }

  long passedBytes() {
    return passedBytes;
  }

  boolean hasPassedEnd() {
    return passedEnd;
  }

  /** Passes on what is due; called again when the sink becomes writable. */
  void drain() {
    while (!queue.isEmpty() && !fault.held() && sink.isWritable()) {
      long waitNanos = queue.peek().dueNanos() - System.nanoTime();
      if (waitNanos > 0) {
        source.eventLoop().schedule(this::drain, waitNanos, TimeUnit.NANOSECONDS);
        return;
      }
      pass(queue.poll());
    }
    source.config().setAutoRead(!fault.held() && queuedBytes < MAX_QUEUED_BYTES);
  }

  void release() {
    queue.stream()
        .filter(item -> item.kind() == Kind.BYTES)
        .forEach(item -> item.bytes().release());
    queue.clear();
  }

  private void pass(Item item) {
    switch (item.kind()) {
      case BYTES -> passBytes(item.bytes());
      case END -> {
        passedEnd = true;
        ((DuplexChannel) sink).shutdownOutput().addListener(done -> connection.directionEnded());
      }
      case RESET -> connection.cut();
      default -> throw new IllegalStateException();
    }
  }

  private void passBytes(ByteBuf bytes) {
    int length = bytes.readableBytes();
    queuedBytes -= length;
    if (fault.lost()) {
      bytes.release();
      connection.cut();
      return;
    }
    long allowed = Math.min(length, fault.cutAfterBytes() - passedBytes);
    if (allowed < length) {
      passedBytes += Math.max(0, allowed);
      ByteBuf part = bytes.readRetainedSlice((int) Math.max(0, allowed));
      bytes.release();
      sink.writeAndFlush(part).addListener(done -> connection.cut());
      return;
    }
    passedBytes += length;
    sink.writeAndFlush(bytes);
  }

  private void enqueue(Kind kind, ByteBuf bytes) {
    if (ended) {
      return;
    }
    ended = kind != Kind.BYTES;
    queuedBytes += bytes == null ? 0 : bytes.readableBytes();
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.delayMs());
    queue.add(new Item(kind, bytes, dueNanos));
    drain();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (ended) {
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
    connection.writabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    enqueue(Kind.RESET, null);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // With half closure allowed, Netty reports a reset as the end of the input after this call.
    enqueue(Kind.RESET, null);
    context.close();
  }
}
