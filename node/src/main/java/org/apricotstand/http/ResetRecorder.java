package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;

/**
 * Records that a connection failed. The HTTP library takes a body without length as complete when
 * its connection ends, also by a reset.
 */
final class ResetRecorder extends ChannelInboundHandlerAdapter {

  private static final AttributeKey<Boolean> RESET =
      AttributeKey.valueOf(ResetRecorder.class, "reset");

  /** Returns whether the connection has failed. */
  static boolean isReset(Channel channel) {
    return channel.hasAttr(RESET);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.channel().attr(RESET).set(true);
    context.fireExceptionCaught(cause);
  }
}
