package org.apricotstand.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Collects the whole body of a request. A request whose body is over the limit is passed on at
 * once, with a failure as its decoder result and without its body.
 */
final class BodyCollector extends HttpObjectAggregator {

  private boolean isContinueDue;

  BodyCollector(int maxBodyBytes) {
    super(maxBodyBytes);
    setMaxCumulationBufferComponents(RequestMemory.MAX_BODY_PARTS);
  }

  /** Puts off the interim answer to a request that arrives while another one is answered. */
  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    if (!pipeline.get(HttpConnection.class).isAnswering()) {
      return super.newContinueResponse(start, maxContentLength, pipeline);
    }
    isContinueDue =
        HttpUtil.is100ContinueExpected(start)
            && HttpUtil.getContentLength(start, 0L) <= maxContentLength;
    return null;
  }

  @Override
  protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
    isContinueDue = false;
    super.finishAggregation(aggregated);
  }

  /** Sends the interim answer that was put off, if the request still waits for it. */
  void sendDueContinue(ChannelHandlerContext context) {
    if (isContinueDue) {
      isContinueDue = false;
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  /**
   * Passes on a request that is refused when its turn has come. The rest of its body is read and
   * discarded: closing now would reset the connection while the caller is still sending, and the
   * caller could lose the answer.
   */
  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    HttpRequest head = (HttpRequest) oversized;
    FullHttpRequest refused =
        new DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            Unpooled.EMPTY_BUFFER,
            head.headers(),
            EmptyHttpHeaders.INSTANCE);
    refused.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("body too large")));
    context.fireChannelRead(refused);
  }

  /** Returns the JSON body of an error that occurs before a request has been read. */
  static String notRun(String code) {
    return "{\"error\":{\"code\":\"" + code + "\",\"outcome\":\"not_run\"}}";
  }
}
