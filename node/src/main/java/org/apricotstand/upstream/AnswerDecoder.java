package org.apricotstand.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the answers of targets. An answer to a HEAD request has no body, whatever its headers
 * say.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;

  private HttpMethod method;

  AnswerDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES));
  }

  /** Sets the method of the request to which the next answer belongs. */
  void expect(HttpMethod requestMethod) {
    method = requestMethod;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
