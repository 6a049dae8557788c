package org.apricotstand.request;

import java.util.ArrayDeque;
import java.util.Deque;

/** What one request has taken from the quota of its tenant: its cost once for each possible run. */
final class QuotaTicket {

  /** Age from which a cost is taken again, since it would count in another window than the run. */
  private static final long MAX_WAIT_MS = 1_000;

  private final QuotaGate gate;
  private final String tenant;
  private final long cost;
  private final Deque<Long> takenMs = new ArrayDeque<>();

  /**
   * Creates the ticket of a request.
   *
   * @param tenant tenant with a limit; null if there is none, so that nothing is taken
   */
  QuotaTicket(QuotaGate gate, String tenant, long cost) {
    this.gate = gate;
    this.tenant = tenant;
    this.cost = cost;
  }

  /** Takes the cost of the first run; returns whether the share of this instance has room. */
  boolean tryStart() {
    if (tenant == null) {
      return true;
    }
    gate.recordOffered(tenant, cost);
    return tryTakeUpTo(0);
  }

  /** Returns whether the relay may lend the cost of the first run. */
  boolean mayBorrow() {
    return gate.mayBorrow(tenant, cost);
  }

  /** Opens a request for credit for the first run, and returns its number. */
  long askLoan(long waitMs) {
    return gate.askLoan(tenant, cost, waitMs);
  }

  /** Returns what the relay is asked for. */
  String tenant() {
    return tenant;
  }

  long cost() {
    return cost;
  }

  /** Takes the cost of the first run from what the relay has lent; returns whether it is taken. */
  boolean tryTakeLoan(long number, boolean isLent) {
    boolean isTaken = gate.tryTakeLoan(tenant, cost, number, isLent);
    if (isTaken) {
      takenMs.addLast(gate.nowMs());
    }
    return isTaken;
  }

  void endUnansweredLoan(long number) {
    gate.endUnansweredLoan(number);
  }

  void endLoan(long number) {
    gate.endLoan(number);
  }

  /** Counts the request as refused. */
  void recordRefused() {
    gate.recordRefused(tenant);
  }

  /**
   * Takes the cost of the next run, again if it was taken long ago; returns whether it is taken.
   *
   * @param possibleRuns runs so far and attempts that may become runs, whose cost is taken already
   */
  boolean tryTakeRun(int possibleRuns) {
    if (tenant == null) {
      return true;
    }
    if (takenMs.size() > possibleRuns && gate.nowMs() - takenMs.peekLast() > MAX_WAIT_MS) {
      settle(possibleRuns);
    }
    boolean isTaken = tryTakeUpTo(possibleRuns);
    if (!isTaken) {
      recordRefused();
    }
    return isTaken;
  }

  private boolean tryTakeUpTo(int possibleRuns) {
    while (takenMs.size() <= possibleRuns) {
      if (!gate.tryTake(tenant, cost)) {
        return false;
      }
      takenMs.addLast(gate.nowMs());
    }
    return true;
  }

  /** Gives back what was taken for more runs than there may have been. */
  void settle(int possibleRuns) {
    while (takenMs.size() > possibleRuns) {
      gate.giveBack(tenant, cost, takenMs.removeLast());
    }
  }

  /** Returns the time after which a refused request may be sent again. */
  long retryAfterMs() {
    return gate.retryAfterMs(tenant, cost);
  }
}
