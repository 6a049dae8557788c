package org.apricotstand.serve;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apricotstand.control.ControlThread;
import org.apricotstand.drain.Drain;
import org.apricotstand.drain.DrainAction;
import org.apricotstand.drain.DrainEvent;
import org.apricotstand.fleet.FleetService;
import org.apricotstand.front.CallerServer;
import org.apricotstand.observe.EventLog;
import org.apricotstand.request.RequestRouter;

/**
 * Carries out the drain of an instance on its traffic thread, so that no request can arrive between
 * a decision and what follows from it.
 */
final class DrainRunner {

  private static final EventLog LOG = EventLog.of(DrainRunner.class);
  private static final long TICK_MS = 20;

  private final EventLoop loop;
  private final FleetService fleet;
  private final RequestRouter router;
  private final CallerServer callers;
  private final Drain drain = new Drain();
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private ScheduledFuture<?> ticks;

  DrainRunner(EventLoop loop, FleetService fleet, RequestRouter router, CallerServer callers) {
    this.loop = loop;
    this.fleet = fleet;
    this.router = router;
    this.callers = callers;
  }

  /**
   * Drains the instance; returns when the process may end.
   *
   * @param killedAtMs monotonic time at which the process is killed if it still runs
   */
  void run(long killedAtMs) {
    loop.execute(() -> guard(() -> start(killedAtMs)));
    try {
      long waitMs = killedAtMs - Drain.EXIT_MARGIN_MS - ControlThread.nowMs();
      ended.get(Math.max(0, waitMs), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.warn("drain_unfinished", "active", callers.activeRequests());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      LOG.warn("drain_interrupted", "error", e.toString());
    } catch (ExecutionException e) {
      LOG.warn("drain_failed", "error", e.getCause().toString());
    }
  }

  private void start(long killedAtMs) {
    carryOut(drain.handle(new DrainEvent.StopRequested(killedAtMs), ControlThread.nowMs()));
    ticks =
        loop.scheduleWithFixedDelay(
            () -> guard(this::tick), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Runs a step; a failure ends the drain, which nothing else would do before the kill. */
  private void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      ended.completeExceptionally(e);
    }
  }

  private void tick() {
    DrainEvent.Tick tick =
        new DrainEvent.Tick(callers.openRequests(), callers.openConnections(), fleet.isReleased());
    carryOut(drain.handle(tick, ControlThread.nowMs()));
  }

  private void carryOut(List<DrainAction> actions) {
    for (DrainAction action : actions) {
      switch (action) {
        case DrainAction.Leave(long refuseFromMs, long endMs) -> {
          fleet.announceLeaving();
          callers.drain();
          router.drain(refuseFromMs, endMs);
        }
        case DrainAction.EndRequests end -> router.endRequests();
        case DrainAction.StopAccepting stop -> callers.stopAccepting();
        case DrainAction.ReleaseEngines release -> fleet.releaseEngines();
        case DrainAction.Exit exit -> {
          ticks.cancel(false);
          ended.complete(null);
        }
      }
    }
  }
}
