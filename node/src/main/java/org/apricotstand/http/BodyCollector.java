package org.apricotstand.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * Collects the whole body of a request. A body over the limit is answered with status 413 and a
 * JSON error; the connection stays open for the next request.
 */
final class BodyCollector extends HttpObjectAggregator {

  BodyCollector(int maxBodyBytes) {
    super(maxBodyBytes);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    byte[] body = notRun("body_too_large").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
            Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    // The rest of the body is read and discarded. Closing now would reset the connection while the
    // caller is still sending, and the caller could lose the answer.
    context.writeAndFlush(response);
  }

  /** Returns the JSON body of an error that occurs before a request has been read. */
  static String notRun(String code) {
    return "{\"error\":{\"code\":\"" + code + "\",\"outcome\":\"not_run\"}}";
  }
}
