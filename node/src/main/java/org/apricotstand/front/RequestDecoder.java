package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and rejects those that have both a content length and chunked encoding. */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(65_536));
  }

  /**
   * Returns whether bytes between two requests begin none: old callers send a line break behind a
   * body.
   */
  static boolean isSkipped(ByteBuf bytes) {
    return bytes.forEachByte(next -> next == '\r' || next == '\n') < 0;
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
  }
}
