package org.apricotstand.upstream;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class AnswerDecoderTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";
  private static final String LINE = "a:\r\n";
  private static final int MAX_HEAD_MEMORY_BYTES = 131_072;
  private static final int LONGEST_LINE_BYTES = 300;

  private final AtomicInteger lineCount = new AtomicInteger();
  private final AnswerDecoder decoder = new AnswerDecoder(lineCount::incrementAndGet);
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  // Guards against heads that exhaust the heap: lines of four bytes took fifty times their length,
  // and the limit of 64 KB counted their length only.
  @Test
  void aHeadOfManyShortLinesFailsBeforeItTakesMuchMemory() {
    decoder.expect(HttpMethod.GET);
    receive(HEAD);
    for (int i = 0; i < 100 && channel.inboundMessages().isEmpty(); i++) {
      receive(LINE.repeat(100));
      assertThat(decoder.heldHeaderBytes()).isAtMost(MAX_HEAD_MEMORY_BYTES + LONGEST_LINE_BYTES);
    }
    HttpObject failed = channel.readInbound();
    assertThat(failed.decoderResult().cause()).isInstanceOf(TooLongHttpHeaderException.class);
  }

  // Guards against trailers that are kept, though nothing reads them.
  @Test
  void linesOfTrailersAreCountedAndNotKept() {
    decoder.expect(HttpMethod.GET);
    receive(HEAD + "\r\n0\r\n");
    HttpResponse head = channel.readInbound();
    decoder.onHeadRead();
    assertThat(head.status().code()).isEqualTo(200);
    lineCount.set(0);
    receive(LINE.repeat(1_000));
    assertThat(lineCount.get()).isAtLeast(999);
    assertThat(decoder.heldHeaderBytes()).isEqualTo(0);
    receive("\r\n");
    LastHttpContent last = channel.readInbound();
    assertThat(last.trailingHeaders()).isEmpty();
  }

  // Guards against lines of an answer that count as held when the next one arrives.
  @Test
  void theMeterBeginsAgainWithEachHead() {
    for (int i = 0; i < 50; i++) {
      decoder.expect(HttpMethod.GET);
      receive("HTTP/1.1 200 OK\r\n" + LINE.repeat(100) + "content-length: 0\r\n\r\n");
      HttpResponse head = channel.readInbound();
      assertThat(head.decoderResult().isSuccess()).isTrue();
      decoder.onHeadRead();
      channel.readInbound();
    }
  }
}
