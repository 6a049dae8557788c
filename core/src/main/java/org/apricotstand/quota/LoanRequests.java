package org.apricotstand.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The requests of this instance that wait for a loan of their relay. Decides whether to ask, and
 * whether an answer still counts.
 *
 * <pre>{@code
 * if (requests.mayAsk("tenant", cost, nowMs)) {
 *   long number = requests.ask("tenant", cost, waitMs, nowMs);
 * }
 * boolean isUsable = requests.onAnswer(number, isLent, nowMs);
 * requests.settle(number);
 * }</pre>
 */
public final class LoanRequests {

  /** Longest wait for an answer; links within a failure domain take a few ms. */
  private static final long MAX_WAIT_MS = 100;

  /** A wait takes at most this part of the objective of the route. */
  private static final long OBJECTIVE_DIVISOR = 4;

  /** Time after a refusal in which an equal or larger request would be refused as well. */
  private static final long REFUSED_PAUSE_MS = 100;

  /** Time after a question without answer, which fails for seconds if the relay is lost. */
  private static final long UNANSWERED_PAUSE_MS = 500;

  private final TreeMap<Long, Open> open = new TreeMap<>();
  private final Map<String, Refusal> refusals = new HashMap<>();
  private long lastNumber;

  private record Open(String tenant, long cost, long deadlineMs) {}

  /** No question for a tenant of at least a cost until a time. */
  private record Refusal(long minCost, long untilMs) {}

  /** Returns how long a request on a route with an objective waits for an answer. */
  public static long waitMs(long objectiveMs) {
    return Math.min(MAX_WAIT_MS, objectiveMs / OBJECTIVE_DIVISOR);
  }

  /** Returns whether the relay may lend this much now, as far as its last answers tell. */
  public boolean mayAsk(String tenant, long cost, long nowMs) {
    Refusal refusal = refusals.get(tenant);
    return refusal == null || nowMs >= refusal.untilMs || cost < refusal.minCost;
  }

  /** Opens a request, which waits for an answer from now on; returns its number. */
  public long ask(String tenant, long cost, long waitMs, long nowMs) {
    lastNumber++;
    open.put(lastNumber, new Open(tenant, cost, nowMs + waitMs));
    return lastNumber;
  }

  /** Returns whether the answer is a loan that may be used now. */
  public boolean onAnswer(long number, boolean isLent, long nowMs) {
    Open request = open.get(number);
    if (request == null) {
      return false;
    }
    if (!isLent) {
      refusals.put(request.tenant, new Refusal(request.cost, nowMs + REFUSED_PAUSE_MS));
    }
    return isLent && nowMs < request.deadlineMs;
  }

  /** Records that the wait of a request has ended without an answer. */
  public void onUnanswered(long number, long nowMs) {
    Open request = open.get(number);
    if (request != null) {
      refusals.put(request.tenant, new Refusal(0, nowMs + UNANSWERED_PAUSE_MS));
    }
  }

  /**
   * Ends a request, after the use of its loan was counted.
   *
   * @return the number up to which all requests have ended
   */
  public long settle(long number) {
    open.remove(number);
    return open.isEmpty() ? lastNumber : open.firstKey() - 1;
  }
}
