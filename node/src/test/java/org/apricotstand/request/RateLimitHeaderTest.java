package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RateLimitHeaderTest {

  @Test
  void readsDecimalNumbers() {
    assertThat(RateLimitHeader.perSecond("2.9").getAsDouble()).isEqualTo(2.9);
    assertThat(RateLimitHeader.perSecond(" 7 ").getAsDouble()).isEqualTo(7);
    assertThat(RateLimitHeader.perSecond("0").getAsDouble()).isEqualTo(0);
  }

  // Guards against a target that is never used again because its limit cannot be read.
  @Test
  void ignoresWhatIsNoNumber() {
    assertThat(RateLimitHeader.perSecond(null)).isEmpty();
    assertThat(RateLimitHeader.perSecond("")).isEmpty();
    assertThat(RateLimitHeader.perSecond("-1")).isEmpty();
    assertThat(RateLimitHeader.perSecond("NaN")).isEmpty();
    assertThat(RateLimitHeader.perSecond("1e9")).isEmpty();
  }
}
