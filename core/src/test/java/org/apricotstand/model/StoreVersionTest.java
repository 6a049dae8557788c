package org.apricotstand.model;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StoreVersionTest {

  // Guards against a row of before a restore that counts as newer, because its number is higher.
  @Test
  void aLaterEraIsNewerWhateverItsNumbers() {
    StoreVersion restored = new StoreVersion(2, 1);
    StoreVersion lost = new StoreVersion(1, 1_000);
    assertThat(restored.isAfter(lost)).isTrue();
    assertThat(lost.max(restored)).isEqualTo(restored);
  }

  // Guards against fencing tokens that fall after a restore, or that readers of JSON round.
  @Test
  void fencingTokensRiseWithTheEraAndAreExact() {
    long last = new StoreVersion(1, 1_000_000_000_000L).fencingNumber();
    assertThat(new StoreVersion(2, 1).fencingNumber()).isGreaterThan(last);
    long token = new StoreVersion(8_000, 1_000_000_000_001L).fencingNumber();
    assertThat((long) (double) token).isEqualTo(token);
  }

  // Guards against other tokens than before where the service names no era.
  @Test
  void withoutAnEraTheTokenIsTheNumber() {
    assertThat(StoreVersion.withoutEra(41).fencingNumber()).isEqualTo(41);
  }
}
