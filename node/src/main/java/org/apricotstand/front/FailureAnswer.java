package org.apricotstand.front;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** Creates the answers with which this instance itself reports a failure. */
final class FailureAnswer {

  private FailureAnswer() {}

  /**
   * Returns an answer whose body is a JSON object with the error code. The code is not escaped and
   * must need no escaping.
   */
  static FullHttpResponse of(int status, String code) {
    byte[] body = ("{\"error\":\"" + code + "\"}").getBytes(StandardCharsets.UTF_8);
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    answer
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (status == 401) {
      answer.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return answer;
  }
}
