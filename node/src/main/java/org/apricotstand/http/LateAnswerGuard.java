package org.apricotstand.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.apricotstand.input.InputGate;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * Keeps parts of a late answer from becoming the beginning of the next one on a pooled connection.
 * Closes a connection that receives bytes while no answer is due, and fails an answer whose head
 * contains a second status line or a status that is none.
 */
final class LateAnswerGuard extends ChannelDuplexHandler {

  private final InputGate gate;
  private boolean answerDue;

  private LateAnswerGuard(InputGate gate) {
    this.gate = gate;
  }

  /**
   * Adds a guard to the pipeline of a client's connection.
   *
   * @param gate holds back input that is not decoded yet
   */
  static void addTo(Channel channel, InputGate gate) {
    LateAnswerGuard guard = new LateAnswerGuard(gate);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addFirst(guard);
    pipeline.addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, guard.new HeadHandler());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    answerDue = true;
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (answerDue) {
      context.fireChannelRead(message);
    } else {
      ReferenceCountUtil.release(message);
      context.close();
    }
  }

  /** Checks decoded heads, notes the end of an answer, and drops what follows it. */
  private final class HeadHandler extends ChannelInboundHandlerAdapter {

    private boolean interim;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!answerDue) {
        // Decoded from the bytes that also held the end of the answer.
        ReferenceCountUtil.release(message);
        context.close();
        return;
      }
      if (message instanceof HttpResponse head) {
        interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        check(head);
      }
      if (message instanceof LastHttpContent && !interim) {
        answerDue = false;
        if (gate.heldBytes() > 0) {
          // They would be taken for the beginning of the next answer.
          context.close();
        }
      }
      context.fireChannelRead(message);
    }

    private static void check(HttpResponse head) {
      findFault(head)
          .ifPresent(
              fault ->
                  head.setDecoderResult(
                      DecoderResult.failure(new IllegalArgumentException(fault))));
    }

    /** Returns why a head can't be that of a single answer; empty if it can. */
    private static Optional<String> findFault(HttpResponse head) {
      if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
        return Optional.of("invalid status " + head.status().code());
      }
      return StatusLine.isContainedIn(head.status().reasonPhrase())
          ? Optional.of("second status line in the reason phrase")
          : StatusLine.findIn(head.headers()).map(name -> "second status line in header " + name);
    }
  }
}
