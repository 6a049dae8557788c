package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.LongStream;
import org.apricotstand.dispatch.RetryAdvice.Cause;
import org.junit.jupiter.api.Test;

class RetryAdviceTest {

  // Guards against a last attempt that is spent before an owner can be back.
  @Test
  void waitsLongerForAnOwnerThanForAQueue() {
    assertThat(RetryAdvice.afterMs(Cause.NO_OWNER, 15_000, 0))
        .isGreaterThan(RetryAdvice.afterMs(Cause.LOADS_QUEUED, 15_000, 1));
    assertThat(RetryAdvice.afterMs(Cause.LOADS_QUEUED, 15_000, 0))
        .isGreaterThan(RetryAdvice.afterMs(Cause.TARGETS_BUSY, 15_000, 1));
  }

  // Guards against a time that callers do not honour, because it is too late for them.
  @Test
  void staysWithinAThirdOfTheTimeLeft() {
    assertThat(RetryAdvice.afterMs(Cause.NO_OWNER, 600, 0.5)).isEqualTo(200);
    assertThat(RetryAdvice.afterMs(Cause.NO_OWNER, 0, 0.5)).isEqualTo(1);
  }

  // Guards against a second burst: callers that were refused together come back together.
  @Test
  void spreadsTheReturnOfABurst() {
    LongStream times =
        LongStream.rangeClosed(0, 10)
            .map(tenth -> RetryAdvice.afterMs(Cause.LOADS_QUEUED, 15_000, tenth / 10.0));
    assertThat(times.distinct().count()).isEqualTo(11);
  }
}
