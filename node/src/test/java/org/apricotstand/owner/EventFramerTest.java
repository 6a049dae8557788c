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

class EventFramerTest {

  private static final String STREAM = "data: one\n\n: comment\n\ndata: two\n\ndata: [DONE]\n\n";

  /**
   * Guards against lost or repeated bytes and wrong counts, however the network cuts the stream.
   */
  @Property(seed = "7")
  void passesWholeStreamHoweverItIsCut(
      @ForAll @Size(max = 8) List<@IntRange(min = 1, max = 20) Integer> sizes) {
    EventFramer framer = new EventFramer();
    byte[] stream = bytes(STREAM);
    ByteArrayOutputStream passed = new ByteArrayOutputStream();
    int start = 0;
    for (int size : sizes) {
      int end = Math.min(stream.length, start + size);
      passed.writeBytes(framer.feed(java.util.Arrays.copyOfRange(stream, start, end)));
      start = end;
    }
    passed.writeBytes(framer.feed(java.util.Arrays.copyOfRange(stream, start, stream.length)));
    assertThat(passed.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
    assertThat(framer.tokenCount()).isEqualTo(2);
    assertThat(framer.isDone()).isTrue();
  }

  /** Guards against half an event that reaches the caller before a resume repeats it. */
  @Test
  void keepsIncompleteEventBack() {
    EventFramer framer = new EventFramer();
    assertThat(framer.feed(bytes("data: one\n\ndata: t"))).isEqualTo(bytes("data: one\n\n"));
    framer.dropIncomplete();
    assertThat(framer.feed(bytes("data: two\n\n"))).isEqualTo(bytes("data: two\n\n"));
    assertThat(framer.tokenCount()).isEqualTo(2);
    assertThat(framer.isDone()).isFalse();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
