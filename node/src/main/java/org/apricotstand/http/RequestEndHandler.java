package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;

/** Notifies the {@link RequestReadTimeout} when a request has been read completely. */
final class RequestEndHandler extends ChannelInboundHandlerAdapter {

  private final RequestReadTimeout requestReadTimeout;

  RequestEndHandler(RequestReadTimeout requestReadTimeout) {
    this.requestReadTimeout = requestReadTimeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof LastHttpContent) {
      requestReadTimeout.onRequestComplete();
    }
    context.fireChannelRead(message);
  }
}
