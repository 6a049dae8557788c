package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventBoundaryTest {

  private final EventBoundary boundary = new EventBoundary();

  private void feed(String text) {
    boundary.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  @Test
  void isInsideAnEventUntilItsEmptyLine() {
    assertThat(boundary.isInsideEvent()).isFalse();
    feed("id: 1\n");
    assertThat(boundary.isInsideEvent()).isTrue();
    feed("\n");
    assertThat(boundary.isInsideEvent()).isFalse();
    feed("id: 2\ndata: x");
    assertThat(boundary.isInsideEvent()).isTrue();
  }

  // Guards against an empty line that arrives in two parts and is not recognized.
  @Test
  void recognizesCarriageReturnsInAnySplit() {
    for (String part : "id: 1\r\n\r".split("")) {
      feed(part);
    }
    assertThat(boundary.isInsideEvent()).isTrue();
    feed("\n");
    assertThat(boundary.isInsideEvent()).isFalse();
  }

  @Test
  void isEmptyUntilTheFirstByte() {
    assertThat(boundary.isEmpty()).isTrue();
    feed("\n");
    assertThat(boundary.isEmpty()).isFalse();
    assertThat(boundary.isInsideEvent()).isFalse();
  }

  // Guards against breaking off streams whose events have comments, other fields or a mark.
  @Test
  void fieldsAndCommentsAreNoForeignLines() {
    feed("\uFEFF: HTTP/1.1 200 OK\r\nid: 1\ndata\nx-weight-versions: 3\ndata: {\"A\": 1}\n\n");
    assertThat(boundary.hasForeignLine()).isFalse();
  }

  // Guards against passing on the head of an answer, or the text of an error, as an event.
  @Test
  void recognizesForeignLinesInAnySplit() {
    for (String line :
        List.of("HTTP/1.1 500 Oops", "Content-Length: 4", "{\"error\": 1}", "oops !")) {
      EventBoundary other = new EventBoundary();
      ("data: a\n" + line + "\r\n")
          .chars()
          .forEach(next -> other.feed(Unpooled.wrappedBuffer(new byte[] {(byte) next})));
      assertThat(other.hasForeignLine()).isTrue();
    }
  }
}
