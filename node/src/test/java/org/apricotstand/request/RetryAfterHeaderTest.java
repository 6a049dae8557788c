package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RetryAfterHeaderTest {

  // Guards against a pause that is read as another one.
  @Test
  void readsSeconds() {
    assertThat(RetryAfterHeader.delayMs(List.of("2"))).isEqualTo(OptionalLong.of(2_000));
    assertThat(RetryAfterHeader.delayMs(List.of(" 0.25 "))).isEqualTo(OptionalLong.of(250));
    assertThat(RetryAfterHeader.delayMs(List.of("1", "x", "3"))).isEqualTo(OptionalLong.of(3_000));
  }

  // Guards against harm by values that are no time.
  @ParameterizedTest
  @ValueSource(
      strings = {"", "-1", "x", "1e9", "NaN", "9999999999", "Fri, 31 Dec 1999 23:59:59 GMT", "1,2"})
  void ignoresWhatIsNoTime(String value) {
    assertThat(RetryAfterHeader.delayMs(List.of(value))).isEqualTo(OptionalLong.empty());
    assertThat(RetryAfterHeader.delayMs(List.of())).isEqualTo(OptionalLong.empty());
  }
}
