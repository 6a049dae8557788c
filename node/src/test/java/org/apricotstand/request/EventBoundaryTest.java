package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
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
}
