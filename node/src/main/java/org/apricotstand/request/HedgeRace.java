package org.apricotstand.request;

import java.util.OptionalLong;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.hedge.HedgeDecision;
import org.apricotstand.hedge.HedgeDelays;
import org.apricotstand.hedge.HedgePolicy;
import org.apricotstand.route.Route;

/**
 * Sends a second attempt of one request when the first one is later than it should be, and lets the
 * first success of the two answer. No byte of an answer is passed on before that choice. Belongs to
 * the traffic thread.
 */
final class HedgeRace {

  private final RequestFlow flow;
  private final RequestRouter router;
  private final Hedging hedging;
  private final Route route;

  /** Second attempt while the first is in flight; null otherwise. */
  private Attempt second;

  private HedgeRace(RequestFlow flow, RequestRouter router, Hedging hedging, Route route) {
    this.flow = flow;
    this.router = router;
    this.hedging = hedging;
    this.route = route;
  }

  /** Returns the race of a request; null if it cannot be hedged. */
  static HedgeRace createOrNull(RequestFlow flow, RequestRouter router, Route route) {
    Hedging hedging = router.hedging().orElse(null);
    return hedging != null && HedgePolicy.canHedge(route)
        ? new HedgeRace(flow, router, hedging, route)
        : null;
  }

  /** Returns whether two attempts are in flight. */
  boolean isRunning() {
    return second != null;
  }

  /** Schedules the hedge of an attempt; does nothing without an estimate of its delay. */
  void scheduleHedge(Attempt first) {
    OptionalLong delayMs = hedging.delays().delayMs(route.name(), first.target().id());
    if (delayMs.isPresent() && !first.isClosed()) {
      first.setHedgeTimer(flow.schedule(() -> onLate(first), delayMs.getAsLong()));
    }
  }

  private void onLate(Attempt first) {
    if (first.isClosed() || first.hasHead() || isRunning()) {
      return;
    }
    if (!flow.tryTakeSecondRun()) {
      hedging.recordRefused(HedgeDecision.Reason.QUOTA);
      return;
    }
    switch (router.decideHedge(flow, route, first, hedging.allowance(flow.service()))) {
      case HedgeDecision.Send send -> sendSecond(send.candidate().target());
      case HedgeDecision.Refused refused -> {
        flow.giveSecondRunBack();
        hedging.recordRefused(refused.reason());
      }
    }
  }

  private void sendSecond(TargetEntry target) {
    hedging.recordSent();
    router.pacer().reserve(target);
    second = flow.createAttempt(target);
    flow.transmit(second);
  }

  /** Cancels the second attempt if there is one. */
  void cancel() {
    if (isRunning()) {
      second.cancel();
    }
  }

  /** Cancels the second attempt if there is one, because the request is out of time. */
  void cancelAsLate() {
    if (isRunning()) {
      second.cancelAsLate();
    }
  }

  /** Returns the attempt that goes on after one has ended; null if there is none. */
  Attempt onAttemptClosed(Attempt closed, Attempt current) {
    Attempt left = closed == current ? second : current;
    second = null;
    return left;
  }

  /** Lets an attempt answer the request, and cancels the other one if two are in flight. */
  void onAnswerChosen(Attempt winner, Attempt current) {
    HedgeDelays delays = hedging.delays();
    // Errors are no measure: they come faster or later than answers.
    if (winner.isSuccess()) {
      delays.recordFirstByte(route.name(), winner.target().id(), winner.ageMs());
    }
    if (!isRunning()) {
      return;
    }
    boolean isHedgeWinner = winner == second;
    Attempt loser = isHedgeWinner ? current : second;
    flow.settleOvertaken(loser);
    if (isHedgeWinner) {
      delays.recordOverdue(route.name(), loser.target().id(), loser.ageMs());
      hedging.recordWon();
      flow.exclude(loser.target());
      // The first target may be silent because it has crashed.
      loser.cancelAsLate();
    } else {
      loser.cancel();
    }
  }
}
