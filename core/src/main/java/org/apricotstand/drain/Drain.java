package org.apricotstand.drain;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a stopping instance takes no more requests and when its process may end.
 *
 * <p>Callers go on sending for seconds after the stop was requested, until their balancer has asked
 * twice whether the instance is ready. The instance stops accepting at the first moment after that
 * at which no request is open, in the same step that found none. What comes later is not read, so
 * nothing that an engine or service runs can lose its answer to the end of the process.
 *
 * <pre>{@code
 * actions = drain.handle(new DrainEvent.StopRequested(nowMs + graceMs), nowMs);
 * actions = drain.handle(new DrainEvent.Tick(openRequests, openConnections, released), nowMs);
 * }</pre>
 */
public final class Drain {

  /** Readiness is checked once a second; two failed checks take an instance out of rotation. */
  static final long LEAVE_ROTATION_MS = 3_000;

  /** Time after the request to stop from which requests are refused that could outlive it. */
  static final long REFUSE_LONG_REQUESTS_AFTER_MS = 2_700;

  /** Time before the kill by which the process has ended. */
  public static final long EXIT_MARGIN_MS = 400;

  /** Time for the release of the engines and for the last answers to leave. */
  static final long RELEASE_TIMEOUT_MS = 300;

  private enum Phase {
    SERVING,
    LEAVING,
    CLOSED,
    ENDED
  }

  private Phase phase = Phase.SERVING;
  private long leftRotationMs;
  private long endMs;
  private long exitMs;

  /** Handles an event and returns what has to be done now. */
  public List<DrainAction> handle(DrainEvent event, long nowMs) {
    return switch (event) {
      case DrainEvent.StopRequested(long killedAtMs) -> leave(killedAtMs, nowMs);
      case DrainEvent.Tick tick ->
          switch (phase) {
            case SERVING, ENDED -> List.of();
            case LEAVING -> stopAcceptingWhenQuiet(tick.openRequests(), nowMs);
            case CLOSED -> exitWhenDone(tick, nowMs);
          };
    };
  }

  private List<DrainAction> leave(long killedAtMs, long nowMs) {
    if (phase != Phase.SERVING) {
      return List.of();
    }
    phase = Phase.LEAVING;
    leftRotationMs = nowMs + LEAVE_ROTATION_MS;
    endMs = killedAtMs - EXIT_MARGIN_MS - RELEASE_TIMEOUT_MS;
    return List.of(new DrainAction.Leave(nowMs + REFUSE_LONG_REQUESTS_AFTER_MS, endMs));
  }

  private List<DrainAction> stopAcceptingWhenQuiet(int openRequests, long nowMs) {
    boolean isQuiet = nowMs > leftRotationMs && openRequests == 0;
    boolean isOver = nowMs >= endMs;
    if (!isQuiet && !isOver) {
      return List.of();
    }
    phase = Phase.CLOSED;
    exitMs = nowMs + RELEASE_TIMEOUT_MS;
    List<DrainAction> actions = new ArrayList<>();
    if (openRequests > 0) {
      actions.add(new DrainAction.EndRequests());
    }
    actions.add(new DrainAction.StopAccepting());
    actions.add(new DrainAction.ReleaseEngines());
    return actions;
  }

  private List<DrainAction> exitWhenDone(DrainEvent.Tick tick, long nowMs) {
    boolean isDone = tick.released() && tick.openRequests() == 0 && tick.openConnections() == 0;
    if (!isDone && nowMs < exitMs) {
      return List.of();
    }
    phase = Phase.ENDED;
    return List.of(new DrainAction.Exit());
  }
}
