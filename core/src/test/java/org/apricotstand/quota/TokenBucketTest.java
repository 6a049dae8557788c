package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TokenBucketTest {

  private final TokenBucket bucket = new TokenBucket(0);

  // Guards against a restarted process that uses at once what its previous life has used.
  @Test
  void startsEmptyAndFillsUpToItsCapacity() {
    bucket.setSize(10, 20, 0);
    assertThat(bucket.tryTake(1, 0)).isFalse();
    assertThat(bucket.waitMs(1, 0)).isEqualTo(100);
    assertThat(bucket.tryTake(1, 100)).isTrue();
    assertThat(bucket.tryTake(20, 60_000)).isTrue();
    assertThat(bucket.tryTake(1, 60_000)).isFalse();
  }

  // Guards against a large request that is refused for ever, or that is not paid for.
  @Test
  void aRequestLargerThanTheCapacityLeavesDebt() {
    bucket.setSize(10, 20, 0);
    assertThat(bucket.tryTake(50, 1_000)).isFalse();
    assertThat(bucket.tryTake(50, 2_000)).isTrue();
    assertThat(bucket.tryTake(1, 5_000)).isFalse();
    assertThat(bucket.tryTake(1, 5_100)).isTrue();
  }

  // Guards against a level above a capacity that has shrunk, and against a time in which the old
  // rate is counted for a pause that the new one covers.
  @Test
  void aSmallerSizeHoldsAtOnce() {
    bucket.setSize(10, 20, 0);
    bucket.setSize(1, 5, 2_000);
    assertThat(bucket.tryTake(2, 2_000)).isTrue();
    assertThat(bucket.tryTake(1, 2_000)).isFalse();
    bucket.setSize(0, 0, 2_000);
    assertThat(bucket.tryTake(1, 60_000)).isFalse();
    assertThat(bucket.waitMs(1, 60_000)).isEqualTo(0);
  }

  // Guards against returned cost that exceeds the capacity.
  @Test
  void whatIsGivenBackCanBeTakenAgain() {
    bucket.setSize(10, 20, 0);
    assertThat(bucket.tryTake(20, 2_000)).isTrue();
    bucket.giveBack(20);
    bucket.giveBack(20);
    assertThat(bucket.tryTake(20, 2_000)).isTrue();
    assertThat(bucket.tryTake(1, 2_000)).isFalse();
  }
}
