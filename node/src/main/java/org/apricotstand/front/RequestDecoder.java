package org.apricotstand.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.apricotstand.http.HeaderMeter;

/** Decodes requests and rejects those that have both a content length and chunked encoding. */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;

  /** The decoder keeps a buffer as long as the longest line; a usual line is shorter than this. */
  private static final int USUAL_LINE_BYTES = 2_048;

  private final HeaderMeter meter;
  private boolean insideMessage;

  RequestDecoder(int maxHeaderBytes) {
    this(maxHeaderBytes, new HeaderMeter());
  }

  private RequestDecoder(int maxHeaderBytes, HeaderMeter meter) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(65_536)
            .setHeadersFactory(meter.heads())
            .setTrailersFactory(meter.trailers()));
    this.meter = meter;
  }

  /** Returns the memory of the head and the trailers that were decoded since the last reset. */
  long heldHeaderBytes() {
    return meter.heldBytes();
  }

  /** Forgets the head and the trailers of a request that is complete. */
  void onMessageEnded() {
    insideMessage = false;
    meter.reset();
  }

  /** Returns whether a part of a request was read, which may have ended at a line end. */
  boolean isInsideMessage() {
    return insideMessage || internalBuffer().isReadable();
  }

  /** Returns the memory of bytes that were read but do not form a line yet. */
  long heldRawBytes() {
    ByteBuf undecoded = internalBuffer();
    return undecoded.isReadable() ? undecoded.capacity() : 0;
  }

  /** Returns whether the decoder keeps a large buffer between two requests. */
  boolean isOversized() {
    return meter.longestLineBytes() > USUAL_LINE_BYTES;
  }

  /**
   * Returns whether bytes between two requests begin none: old callers send a line break behind a
   * body.
   */
  static boolean isSkipped(ByteBuf bytes) {
    return bytes.forEachByte(next -> next == '\r' || next == '\n') < 0;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    insideMessage = true;
    return super.createMessage(initialLine);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
  }
}
