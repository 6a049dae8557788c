package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplyBodyTest {

  private final ReplyBody body = new ReplyBody();

  /** Guards against bytes that are lost or swapped where one block ends and the next begins. */
  @Test
  void partsOfAllSizesAreJoinedInTheirOrder() {
    SplittableRandom random = new SplittableRandom(7);
    ByteArrayOutputStream expected = new ByteArrayOutputStream();
    for (int i = 0; i < 200; i++) {
      byte[] part = new byte[random.nextInt(i % 10 == 0 ? 40_000 : 300)];
      random.nextBytes(part);
      body.add(part);
      expected.writeBytes(part);
    }
    assertThat(body.size()).isEqualTo(expected.size());
    assertThat(body.toByteArray()).isEqualTo(expected.toByteArray());
  }

  @Test
  void bodyWithoutPartsIsEmpty() {
    assertThat(body.size()).isEqualTo(0);
    assertThat(body.toByteArray()).isEmpty();
  }
}
