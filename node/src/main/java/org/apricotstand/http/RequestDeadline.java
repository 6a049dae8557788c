package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Closes a connection whose request is not complete in time after its first byte. */
final class RequestDeadline extends ChannelInboundHandlerAdapter {

  private final long requestMs;
  private Future<?> pending;

  RequestDeadline(long requestMs) {
    this.requestMs = requestMs;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (pending == null) {
      pending =
          context.executor().schedule(() -> context.close(), requestMs, TimeUnit.MILLISECONDS);
    }
    context.fireChannelRead(message);
  }

  /** Ends the watch of the current request. */
  void requestComplete() {
    cancel();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancel();
    context.fireChannelInactive();
  }

  private void cancel() {
    if (pending != null) {
      pending.cancel(false);
      pending = null;
    }
  }
}
