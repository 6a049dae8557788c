package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;

/** Tells the {@link RequestDeadline} when the last byte of a request was read. */
final class RequestEnd extends ChannelInboundHandlerAdapter {

  private final RequestDeadline requestDeadline;

  RequestEnd(RequestDeadline requestDeadline) {
    this.requestDeadline = requestDeadline;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent) {
      requestDeadline.requestComplete();
    }
    context.fireChannelRead(message);
  }
}
