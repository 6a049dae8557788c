package org.apricotstand.input;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import org.apricotstand.limit.TurnShares;

/**
 * Passes the input of a connection on in small parts, and holds the rest back when its source has
 * used its share of the turn. A decoder handles all bytes that it is given before the event loop
 * turns to another connection; a read of 64 KB can hold over ten thousand chunks.
 *
 * <p>The gate stands before the decoder, and its {@link #meter} behind it. All connections to one
 * address are one source; each connection of a caller is one. Nothing is read from the socket while
 * bytes are held back, so that a connection holds no more than one read.
 */
public final class InputGate extends ChannelDuplexHandler {

  /**
   * Buffers for the reads of a connection with a gate, which may hold a whole read. They grow with
   * what arrives, so that a connection that sends little holds little.
   */
  public static final RecvByteBufAllocator READ_BUFFERS =
      new AdaptiveRecvByteBufAllocator(64, 2_048, 16_384);

  /** Bytes that are passed on at once while they hold many messages. */
  static final int MIN_PART_BYTES = 1_024;

  /** Bytes that are passed on at once while they hold few messages, as bodies in one piece do. */
  private static final int MAX_PART_BYTES = 8_192;

  private final InputTurns turns;
  private TurnShares.Source source;
  private ChannelHandlerContext context;
  private ByteBuf held = Unpooled.EMPTY_BUFFER;
  private int partBytes = MIN_PART_BYTES;
  private long messageWork;
  private boolean isWaiting;
  private boolean isPassingOn;
  private boolean isClosing;
  private boolean isReadWanted = true;

  /** Creates the gate of a connection. */
  public InputGate(InputTurns turns) {
    this.turns = turns;
  }

  TurnShares.Source source() {
    return source;
  }

  /** Returns a handler for the place behind the decoder, which counts what was decoded. */
  public ChannelHandler meter() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext meterContext, Object message) {
        messageWork += messagesIn(message) * TurnShares.MESSAGE_WORK;
        meterContext.fireChannelRead(message);
      }
    };
  }

  /** Records the work of a header line of a message that has not ended. */
  public void recordHeaderLine() {
    messageWork += TurnShares.MESSAGE_WORK;
  }

  /** Returns the number of messages and header lines that were decoded for a message. */
  private static long messagesIn(Object message) {
    long lines = 0;
    if (message instanceof HttpMessage head) {
      lines += head.headers().size();
    }
    if (message instanceof LastHttpContent last) {
      lines += last.trailingHeaders().size();
    }
    return 1 + lines;
  }

  /** Returns the number of bytes that were read and not passed on. */
  public int heldBytes() {
    return held.readableBytes();
  }

  /** Pauses or resumes the input, also that which was read already. */
  public void setReading(boolean reading) {
    isReadWanted = reading;
    if (reading && held.isReadable() && !isPassingOn) {
      waitForTurn();
    }
    updateAutoRead();
  }

  private void updateAutoRead() {
    context.channel().config().setAutoRead(isReadWanted && !held.isReadable());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext newContext) {
    context = newContext;
    if (newContext.channel().isActive()) {
      openSource();
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext activeContext) {
    openSource();
    activeContext.fireChannelActive();
  }

  private void openSource() {
    source = turns.open(String.valueOf(context.channel().remoteAddress()));
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext oldContext) {
    if (source != null) {
      turns.remove(this);
      dropHeld();
      source.close();
    }
  }

  private void dropHeld() {
    held.release();
    held = Unpooled.EMPTY_BUFFER;
  }

  @Override
  public void channelRead(ChannelHandlerContext readContext, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      readContext.fireChannelRead(message);
      return;
    }
    held = held.isReadable() ? Unpooled.wrappedBuffer(held, bytes) : bytes;
    if (!isWaiting && isReadWanted) {
      passOn();
    } else {
      updateAutoRead();
    }
  }

  /** Passes held bytes on while the source has room, and waits for a turn with the rest. */
  private void passOn() {
    isPassingOn = true;
    while (held.isReadable() && isReadWanted && !isClosing && source.hasRoom()) {
      passOnPart();
    }
    isPassingOn = false;
    if (isClosing) {
      dropHeld();
      return;
    }
    if (held.isReadable()) {
      if (isReadWanted) {
        waitForTurn();
      }
    } else {
      dropHeld();
    }
    updateAutoRead();
  }

  private void passOnPart() {
    int length = Math.min(partBytes, held.readableBytes());
    messageWork = 0;
    context.fireChannelRead(held.readRetainedSlice(length));
    source.record(length + messageWork);
    partBytes = messageWork > length ? MIN_PART_BYTES : Math.min(2 * partBytes, MAX_PART_BYTES);
  }

  private void waitForTurn() {
    if (!isWaiting) {
      isWaiting = true;
      turns.await(this);
    }
  }

  /** Goes on in a new turn. */
  void resume() {
    isWaiting = false;
    if (!isReadWanted || !held.isReadable()) {
      return;
    }
    passOn();
    context.fireChannelReadComplete();
  }

  /** Passes a request for input on; a decoder asks for more although bytes are held back. */
  @Override
  public void read(ChannelHandlerContext readContext) {
    if (!held.isReadable()) {
      readContext.read();
    }
  }

  @Override
  public void close(ChannelHandlerContext closeContext, ChannelPromise promise) {
    isClosing = true;
    if (!isPassingOn) {
      dropHeld();
    }
    closeContext.close(promise);
  }

  /** Passes on what was read before the connection ended, unless it was closed here. */
  @Override
  public void channelInactive(ChannelHandlerContext inactiveContext) {
    while (held.isReadable() && !isClosing) {
      passOnPart();
    }
    inactiveContext.fireChannelInactive();
  }
}
