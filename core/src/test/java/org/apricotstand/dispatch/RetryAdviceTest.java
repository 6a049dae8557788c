package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.apricotstand.dispatch.RetryAdvice.Cause;
import org.junit.jupiter.api.Test;

class RetryAdviceTest {

  // Guards against a caller whose last retry comes before a lost owner can have returned.
  @Test
  void waitsLongerForAnOwnerThanForAQueue() {
    assertThat(RetryAdvice.retryAfterMs(Cause.NO_OWNER, 15_000, 0))
        .isGreaterThan(RetryAdvice.retryAfterMs(Cause.LOADS_QUEUED, 15_000, 1));
    assertThat(RetryAdvice.retryAfterMs(Cause.LOADS_QUEUED, 15_000, 0))
        .isGreaterThan(RetryAdvice.retryAfterMs(Cause.TARGETS_BUSY, 15_000, 1));
  }

  // Guards against a delay that callers ignore because it is too long for their deadline.
  @Test
  void staysWithinAThirdOfTheTimeLeft() {
    assertThat(RetryAdvice.retryAfterMs(Cause.NO_OWNER, 600, 0.5)).isEqualTo(200);
    assertThat(RetryAdvice.retryAfterMs(Cause.NO_OWNER, 0, 0.5)).isEqualTo(1);
  }

  // Guards against a second burst, when callers that were refused together retry together.
  @Test
  void spreadsTheRetriesOfABurst() {
    LongStream delaysMs =
        LongStream.rangeClosed(0, 10)
            .map(tenth -> RetryAdvice.retryAfterMs(Cause.LOADS_QUEUED, 15_000, tenth / 10.0));
    assertThat(delaysMs.distinct().count()).isEqualTo(11);
  }
}
