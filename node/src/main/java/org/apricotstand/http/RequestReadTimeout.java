package org.apricotstand.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Fires {@link #EXPIRED} when a request does not arrive completely within a time after its first
 * byte. Line breaks between two requests begin none.
 */
final class RequestReadTimeout extends ChannelInboundHandlerAdapter {

  /** Event that tells that the request being received is incomplete after the timeout. */
  static final Object EXPIRED = new Object();

  private final long timeoutMs;
  private Future<?> scheduledExpiry;

  RequestReadTimeout(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!isLineBreak(message)) {
      startUnlessStarted(context);
    }
    context.fireChannelRead(message);
  }

  /** Starts the timeout of a request unless it was started by an earlier part of the request. */
  void startUnlessStarted(ChannelHandlerContext context) {
    if (scheduledExpiry == null) {
      scheduledExpiry =
          context
              .executor()
              .schedule(
                  () -> context.fireUserEventTriggered(EXPIRED), timeoutMs, TimeUnit.MILLISECONDS);
    }
  }

  private static boolean isLineBreak(Object message) {
    return message instanceof ByteBuf bytes
        && bytes.forEachByte(next -> next == '\r' || next == '\n') < 0;
  }

  /** Returns whether a part of a request has been received. */
  boolean isReceiving() {
    return scheduledExpiry != null;
  }

  /** Cancels the timeout of the current request. */
  void onRequestComplete() {
    cancel();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancel();
    context.fireChannelInactive();
  }

  private void cancel() {
    if (scheduledExpiry != null) {
      scheduledExpiry.cancel(false);
      scheduledExpiry = null;
    }
  }
}
