package org.apricotstand.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Notifies the {@link RequestReadTimeout} when a request has been read completely, and when the
 * head of one has arrived, which may be in the same read as the request before it.
 */
final class RequestEndHandler extends ChannelInboundHandlerAdapter {

  private final RequestReadTimeout requestReadTimeout;

  RequestEndHandler(RequestReadTimeout requestReadTimeout) {
    this.requestReadTimeout = requestReadTimeout;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest) {
      requestReadTimeout.startUnlessStarted(context);
    }
    if (message instanceof LastHttpContent) {
      requestReadTimeout.onRequestComplete();
    }
    context.fireChannelRead(message);
  }
}
