package org.apricotstand.serve;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.apricotstand.drain.Drain;
import org.apricotstand.drain.DrainAction;
import org.apricotstand.drain.DrainEvent;
import org.apricotstand.observe.EventLog;

/**
 * Carries out the drain of an instance on its traffic thread, so that no request can arrive between
 * a decision and what follows from it.
 */
final class DrainRunner {

  private static final EventLog LOG = EventLog.of(DrainRunner.class);
  private static final long TICK_MS = 20;

  private final EventLoop loop;
  private final DrainSteps steps;
  private final Drain drain = new Drain();
  private final CountDownLatch ended = new CountDownLatch(1);
  private final Set<String> failedSteps = new HashSet<>();
  private ScheduledFuture<?> ticks;

  DrainRunner(EventLoop loop, DrainSteps steps) {
    this.loop = loop;
    this.steps = steps;
  }

  /**
   * Drains the instance; returns when the process may end.
   *
   * @param killedAtMs monotonic time at which the process is killed if it still runs
   */
  void run(long killedAtMs) {
    loop.execute(() -> start(killedAtMs));
    try {
      long waitMs = killedAtMs - Drain.EXIT_MARGIN_MS - ControlThread.nowMs();
      if (!ended.await(Math.max(0, waitMs), TimeUnit.MILLISECONDS)) {
        LOG.warn("drain_unfinished", "active", steps.activeRequests());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      LOG.warn("drain_interrupted", "error", e.toString());
    }
  }

  private void start(long killedAtMs) {
    carryOut(drain.handle(new DrainEvent.StopRequested(killedAtMs), ControlThread.nowMs()));
    ticks = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    tryStep("tick", () -> carryOut(drain.handle(look(), ControlThread.nowMs())));
  }

  /**
   * Reads the state of the instance. One that cannot be read counts as busy, so that the drain goes
   * on by its deadlines.
   */
  private DrainEvent look() {
    try {
      return new DrainEvent.Tick(steps.openRequests(), steps.openConnections(), steps.isReleased());
    } catch (RuntimeException e) {
      reportFailure("look", e);
      return new DrainEvent.Tick(1, 1, false);
    }
  }

  /**
   * Runs a step. One that fails does not end the drain, since requests may be open: the others are
   * still carried out, and the next tick looks again.
   */
  private void tryStep(String name, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      reportFailure(name, e);
    }
  }

  /** Logs the first failure of a step. */
  private void reportFailure(String step, RuntimeException error) {
    if (failedSteps.add(step)) {
      LOG.warn("drain_step_failed", "step", step, "error", error.toString());
    }
  }

  private void carryOut(List<DrainAction> actions) {
    for (DrainAction action : actions) {
      tryStep(action.getClass().getSimpleName(), () -> carryOut(action));
    }
  }

  private void carryOut(DrainAction action) {
    switch (action) {
      case DrainAction.Leave(long refuseFromMs, long endMs) -> steps.leave(refuseFromMs, endMs);
      case DrainAction.EndRequests end -> steps.endRequests();
      case DrainAction.StopAccepting stop -> steps.stopAccepting();
      case DrainAction.ReleaseEngines release -> steps.releaseEngines();
      case DrainAction.Exit exit -> {
        ticks.cancel(false);
        ended.countDown();
      }
    }
  }
}
