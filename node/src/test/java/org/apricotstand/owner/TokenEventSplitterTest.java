package org.apricotstand.owner;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TokenEventSplitterTest {

  private static final String STREAM = "data: one\n\n: comment\n\ndata: two\n\ndata: [DONE]\n\n";

  /**
   * Guards against lost or duplicated bytes and wrong token counts when the stream arrives in parts
   * of any size.
   */
  @Property(seed = "7")
  void returnsTheWholeStreamForPartsOfAnySize(
      @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 20) Integer> sizes) {
    TokenEventSplitter splitter = new TokenEventSplitter();
    byte[] stream = bytes(STREAM);
    ByteArrayOutputStream returned = new ByteArrayOutputStream();
    int start = 0;
    for (int size : sizes) {
      int end = Math.min(stream.length, start + size);
      returned.writeBytes(splitter.feed(java.util.Arrays.copyOfRange(stream, start, end)));
      start = end;
    }
    returned.writeBytes(splitter.feed(java.util.Arrays.copyOfRange(stream, start, stream.length)));
    assertThat(returned.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
    assertThat(splitter.tokenCount()).isEqualTo(2);
    assertThat(splitter.isDone()).isTrue();
  }

  /**
   * Guards against a partial event that reaches the caller before the resumed stream sends it
   * again.
   */
  @Test
  void withholdsAnIncompleteEvent() {
    TokenEventSplitter splitter = new TokenEventSplitter();
    assertThat(splitter.feed(bytes("data: one\n\ndata: t"))).isEqualTo(bytes("data: one\n\n"));
    splitter.dropIncomplete();
    assertThat(splitter.feed(bytes("data: two\n\n"))).isEqualTo(bytes("data: two\n\n"));
    assertThat(splitter.tokenCount()).isEqualTo(2);
    assertThat(splitter.isDone()).isFalse();
  }

  /** Guards against an event without end that is kept until the memory is full. */
  @Test
  void anEventWithoutEndIsOverlong() {
    TokenEventSplitter splitter = new TokenEventSplitter();
    byte[] part = bytes("x".repeat(1_024));
    for (int i = 0; i < TokenEventSplitter.MAX_EVENT_BYTES / part.length; i++) {
      splitter.feed(part);
    }
    assertThat(splitter.hasOverlongEvent()).isFalse();
    splitter.feed(part);
    assertThat(splitter.hasOverlongEvent()).isTrue();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
