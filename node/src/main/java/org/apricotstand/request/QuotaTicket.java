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

  /** Takes the cost of the first run; returns whether the quota has room for it. */
  boolean tryStart() {
    if (tenant == null) {
      return true;
    }
    gate.recordOffered(tenant, cost);
    return tryTakeRun(0);
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
