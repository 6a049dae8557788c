package org.apricotstand.drain;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DrainTest {

  private static final long START_MS = 50_000;
  private static final long KILL_MS = START_MS + 8_000;
  private static final long END_MS = KILL_MS - Drain.EXIT_MARGIN_MS - Drain.RELEASE_TIMEOUT_MS;
  private static final long LEFT_MS = START_MS + Drain.LEAVE_ROTATION_MS;

  private final Drain drain = new Drain();

  private List<DrainAction> stop() {
    return drain.handle(new DrainEvent.StopRequested(KILL_MS), START_MS);
  }

  private List<DrainAction> tick(int openRequests, long nowMs) {
    return drain.handle(new DrainEvent.Tick(openRequests, openRequests, false), nowMs);
  }

  // Guards against an instance that drains although nobody asked it to.
  @Test
  void aServingInstanceDoesNothing() {
    assertThat(tick(0, START_MS)).isEmpty();
  }

  // Guards against connections that are refused while callers still choose this instance.
  @Test
  void anIdleInstanceAcceptsUntilCallersHaveLeft() {
    assertThat(stop())
        .containsExactly(
            new DrainAction.Leave(START_MS + Drain.REFUSE_LONG_REQUESTS_AFTER_MS, END_MS));
    assertThat(tick(0, START_MS + 10)).isEmpty();
    assertThat(tick(0, LEFT_MS)).isEmpty();
    assertThat(tick(0, LEFT_MS + 1))
        .containsExactly(new DrainAction.StopAccepting(), new DrainAction.ReleaseEngines())
        .inOrder();
  }

  // Guards against a process that ends under a request which came after a moment without any.
  @Test
  void requestsThatAreOpenDelayTheEnd() {
    stop();
    assertThat(tick(0, LEFT_MS - 1)).isEmpty();
    assertThat(tick(1, LEFT_MS + 1)).isEmpty();
    assertThat(tick(1, END_MS - 1)).isEmpty();
  }

  // Guards against requests that are cut without an answer when the grace period is over.
  @Test
  void requestsThatOutlastTheGracePeriodAreAnsweredBeforeTheProcessEnds() {
    stop();
    assertThat(tick(2, END_MS))
        .containsExactly(
            new DrainAction.EndRequests(),
            new DrainAction.StopAccepting(),
            new DrainAction.ReleaseEngines())
        .inOrder();
  }

  // Guards against answers and leases that the end of the process cuts off, and against a process
  // that waits for a store that never answers until it is killed.
  @Test
  void theProcessEndsOnceAllIsDoneOrTheTimeIsUp() {
    stop();
    tick(0, LEFT_MS + 1);
    long nowMs = LEFT_MS + 2;
    assertThat(drain.handle(new DrainEvent.Tick(0, 1, true), nowMs)).isEmpty();
    assertThat(drain.handle(new DrainEvent.Tick(0, 0, false), nowMs)).isEmpty();
    assertThat(drain.handle(new DrainEvent.Tick(0, 0, true), nowMs))
        .containsExactly(new DrainAction.Exit());
    assertThat(drain.handle(new DrainEvent.Tick(0, 0, true), nowMs)).isEmpty();
  }

  // Guards against a process that waits for a store that never answers until it is killed.
  @Test
  void theProcessEndsInTimeWithoutTheStore() {
    stop();
    tick(1, END_MS);
    assertThat(tick(1, END_MS + Drain.RELEASE_TIMEOUT_MS - 1)).isEmpty();
    assertThat(tick(1, END_MS + Drain.RELEASE_TIMEOUT_MS)).containsExactly(new DrainAction.Exit());
  }

  // Guards against a second signal that starts the drain anew.
  @Test
  void aSecondRequestToStopChangesNothing() {
    stop();
    assertThat(drain.handle(new DrainEvent.StopRequested(KILL_MS + 9), START_MS + 9)).isEmpty();
    assertThat(tick(1, END_MS)).isNotEmpty();
  }
}
