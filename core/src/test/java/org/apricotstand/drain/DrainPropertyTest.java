package org.apricotstand.drain;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Plays drains with requests that arrive, last and end at random, as an instance carries them out.
 */
class DrainPropertyTest {

  private static final long GRACE_MS = 8_000;
  private static final long STEP_MS = 20;
  private static final long START_MS = 1_000;

  /** An instance whose callers keep sending until it stops accepting. */
  private static final class SimulatedInstance {
    private final Drain drain = new Drain();
    private final Random random;
    private final double arrivalsPerStep;
    private final double endsPerStep;
    private final long releaseMs;
    private int openRequests;
    private int endedRequests;
    private boolean accepting = true;
    private long releasedAtMs = Long.MAX_VALUE;
    private long exitMs = -1;

    SimulatedInstance(long seed) {
      random = new Random(seed);
      arrivalsPerStep = random.nextDouble() * 0.5;
      endsPerStep = 0.005 + random.nextDouble() * 0.3;
      releaseMs = random.nextInt(600);
    }

    void step(long nowMs) {
      if (accepting && random.nextDouble() < arrivalsPerStep) {
        openRequests++;
      }
      for (int i = openRequests; i > 0; i--) {
        if (random.nextDouble() < endsPerStep) {
          openRequests--;
        }
      }
      boolean released = nowMs >= releasedAtMs;
      carryOut(
          drain.handle(new DrainEvent.Tick(openRequests, openRequests, released), nowMs), nowMs);
    }

    void carryOut(List<DrainAction> actions, long nowMs) {
      for (DrainAction action : actions) {
        switch (action) {
          case DrainAction.Leave leave -> {}
          case DrainAction.EndRequests end -> {
            endedRequests += openRequests;
            openRequests = 0;
          }
          case DrainAction.StopAccepting stop -> accepting = false;
          case DrainAction.ReleaseEngines release -> releasedAtMs = nowMs + releaseMs;
          case DrainAction.Exit exit -> exitMs = nowMs;
        }
      }
    }
  }

  // Guards against an order of arrivals and ends in which the process ends while a request is open
  // or can still be accepted, or is killed because it does not end.
  @Property(tries = 2_000, seed = "7043")
  void noRequestIsOpenWhenTheProcessEnds(@ForAll long seed) {
    SimulatedInstance instance = new SimulatedInstance(seed);
    long killedAtMs = START_MS + GRACE_MS;
    instance.carryOut(
        instance.drain.handle(new DrainEvent.StopRequested(killedAtMs), START_MS), START_MS);
    for (long nowMs = START_MS; nowMs < killedAtMs && instance.exitMs < 0; nowMs += STEP_MS) {
      instance.step(nowMs);
    }
    assertWithMessage("open requests at the end").that(instance.openRequests).isEqualTo(0);
    assertWithMessage("accepts at the end").that(instance.accepting).isFalse();
    assertWithMessage("time of the end").that(instance.exitMs).isGreaterThan(0);
    assertWithMessage("time of the end")
        .that(instance.exitMs)
        .isAtMost(killedAtMs - Drain.EXIT_MARGIN_MS + STEP_MS);
    boolean endedEarly =
        instance.exitMs < killedAtMs - Drain.EXIT_MARGIN_MS - Drain.RELEASE_TIMEOUT_MS;
    if (endedEarly) {
      assertWithMessage("requests cut before their time").that(instance.endedRequests).isEqualTo(0);
    }
  }
}
