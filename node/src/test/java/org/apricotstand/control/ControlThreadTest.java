package org.apricotstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlThreadTest {

  private static final long TIMEOUT_S = 30;

  private final ControlThread control = new ControlThread();

  @AfterEach
  void stop() {
    control.stop();
  }

  // Guards against regular tasks that run later than they have to, or at once and again and again.
  @Test
  void alignedTimesAreSharedAndLessThanOneStepEarlier() {
    long firstMs = control.align(1_000_000);
    for (long ms = firstMs; ms < firstMs + ControlThread.ALIGNMENT_MS; ms++) {
      assertThat(control.align(ms)).isEqualTo(firstMs);
    }
    assertThat(control.align(firstMs - 1)).isEqualTo(firstMs - ControlThread.ALIGNMENT_MS);
    assertThat(control.align(-1)).isAtMost(-1);
  }

  // Guards against messages that are written but never sent because the task failed after that.
  @Test
  void endActionsRunAfterTheTaskEvenIfItFails() throws InterruptedException {
    List<String> order = new CopyOnWriteArrayList<>();
    CountDownLatch done = new CountDownLatch(1);

    control.execute(
        () -> {
          control.executeAtTaskEnd(() -> order.add("end"));
          order.add("task " + control.isCurrent());
          throw new IllegalStateException("the task fails");
        });
    control.execute(
        () -> {
          order.add("next");
          done.countDown();
        });

    assertThat(done.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(order).containsExactly("task true", "end", "next").inOrder();
    assertThat(control.isCurrent()).isFalse();
  }
}
