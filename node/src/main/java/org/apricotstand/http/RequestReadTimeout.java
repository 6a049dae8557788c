package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes the connection when a request does not arrive completely within a time after its first
 * byte.
 */
final class RequestReadTimeout extends ChannelInboundHandlerAdapter {

  private final long timeoutMs;
  private Future<?> scheduledClose;

  RequestReadTimeout(long timeoutMs) {
    this.timeoutMs = timeoutMs;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (scheduledClose == null) {
      scheduledClose =
          context.executor().schedule(() -> context.close(), timeoutMs, TimeUnit.MILLISECONDS);
    }
    context.fireChannelRead(message);
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
    if (scheduledClose != null) {
      scheduledClose.cancel(false);
      scheduledClose = null;
    }
  }
}
