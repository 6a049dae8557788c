package org.apricotstand.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import org.apricotstand.http.HeaderMeter;
import org.apricotstand.http.StatusLine;

/**
 * Decodes the answers of targets. An answer to a HEAD request has no body, whatever its headers
 * say. Trailers are dropped. The lines of a head have a limit on their memory, since short ones
 * take many times their length. Bytes that arrive while no answer is expected are dropped and
 * reported as {@link UnsolicitedBytes}: decoded, they could become the beginning of the next
 * answer.
 */
final class AnswerDecoder extends HttpResponseDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 65_536;

  /** Twice the longest head that is read, or some 600 short lines. */
  private static final long MAX_HEAD_MEMORY_BYTES = 131_072;

  /** Event of the pipeline: a target sent this many bytes while no answer was expected. */
  record UnsolicitedBytes(int count) {}

  private final HeaderMeter meter;
  private HttpMethod method;
  private boolean answerExpected;

  /**
   * Creates a decoder that expects no answer.
   *
   * @param lineListener is told of each header line and each line of trailers
   */
  AnswerDecoder(Runnable lineListener) {
    this(new HeaderMeter(MAX_HEAD_MEMORY_BYTES, lineListener));
  }

  private AnswerDecoder(HeaderMeter meter) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setHeadersFactory(meter.heads())
            .setTrailersFactory(meter.droppedTrailers()));
    this.meter = meter;
  }

  /** Sets the method of the request to which the next answer belongs. */
  void expect(HttpMethod requestMethod) {
    method = requestMethod;
    answerExpected = true;
  }

  /** Expects no answer until the next request. */
  void expectNothing() {
    answerExpected = false;
  }

  /** Returns the memory of the lines of a head that has not ended. */
  long heldHeaderBytes() {
    return meter.heldBytes();
  }

  /** Records that a head has ended and belongs to others. */
  void onHeadRead() {
    meter.reset();
  }

  /** Returns whether bytes have arrived behind the last message. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (answerExpected) {
      super.decode(context, in, out);
      return;
    }
    int count = in.readableBytes();
    in.skipBytes(count);
    context.fireUserEventTriggered(new UnsolicitedBytes(count));
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    if (!StatusLine.isValid(statusLine[0], statusLine[1], statusLine[2])) {
      throw new IllegalArgumentException("malformed status line: " + String.join(" ", statusLine));
    }
    return super.createMessage(statusLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
  }
}
