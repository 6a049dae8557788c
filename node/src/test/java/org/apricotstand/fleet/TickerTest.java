package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TickerTest {

  private static final long TIMEOUT_S = 30;

  private final ControlThread control = new ControlThread();

  @AfterEach
  void stop() {
    control.stop();
  }

  // Guards against an instance whose leases and reports end because one tick failed.
  @Test
  void runsAgainAfterTheTaskFailed() throws InterruptedException {
    CountDownLatch runs = new CountDownLatch(3);
    Ticker ticker =
        new Ticker(
            control,
            () -> {
              runs.countDown();
              throw new IllegalStateException("the task fails");
            },
            () -> 1);

    control.execute(() -> ticker.schedule(ControlThread.nowMs()));

    assertThat(runs.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
  }

  // Guards against runs that multiply: each earlier run leaves the later one scheduled behind it.
  @Test
  void anEarlierRunReplacesTheLaterOne() throws InterruptedException {
    List<Long> runsMs = new CopyOnWriteArrayList<>();
    CountDownLatch done = new CountDownLatch(1);
    Ticker ticker =
        new Ticker(
            control, () -> runsMs.add(ControlThread.nowMs()), () -> TimeUnit.HOURS.toMillis(1));

    control.execute(
        () -> {
          long nowMs = ControlThread.nowMs();
          ticker.schedule(nowMs + 40);
          ticker.schedule(nowMs + 20);
          ticker.schedule(nowMs + 30);
          control.executeAt(nowMs + 200, done::countDown);
        });

    assertThat(done.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    assertThat(runsMs).hasSize(1);
  }
}
