package org.apricotstand.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which requests of its members a relay lends for, and counts the open loans as used. A
 * loan is open until a report of its borrower settles it: the same sums that leave out the loan
 * then contain its use.
 *
 * <pre>{@code
 * lender.setCredit(quotas.credit(), nowMs);
 * boolean isLent = lender.lend("n2", number, "tenant", cost, nowMs);
 * lender.recordReport("n2", settled);
 * lender.recordPublished(nowMs);
 * }</pre>
 */
public final class QuotaLender {

  /** Longest time from the grant of a loan to the use of it. */
  private static final long MAX_USE_DELAY_MS = 2_000;

  private final QuotaBounds bounds;
  private final long startMs;
  private final Map<String, Borrower> borrowers = new HashMap<>();
  private final List<Loan> lostLoans = new ArrayList<>();
  private final Map<String, Lent> lentByTenant = new HashMap<>();
  private Map<String, QuotaLimit> limits = Map.of();
  private QuotaCredit credit = QuotaCredit.NONE;

  /**
   * A loan for one request.
   *
   * @param untilMs monotonic time at which its use has left the window, if it was used at all
   */
  private record Loan(String tenant, long cost, long untilMs) {}

  /** The open loans of one process. */
  private static final class Borrower {
    private final TreeMap<Long, Loan> open = new TreeMap<>();
    private long settled;
  }

  /** Sum of all loans for a tenant so far, and what it was when this relay published. */
  private final class Lent {
    private final Deque<Published> published = new ArrayDeque<>();
    private final UseWindow used;
    // Empty at the start of the process, which may have lent its credit just before a restart.
    private final TokenBucket pace = new TokenBucket(startMs);
    private boolean isPaced;
    private long total;
    private long settledTotal;

    private Lent(long nowMs) {
      used = new UseWindow(bounds.windowMs(), nowMs);
    }

    /** Spreads the loans over the window as the shares, see {@link TenantQuotas}. */
    private boolean tryPace(double cost, double lendable, boolean isOverloaded, long nowMs) {
      double all = used.sum(nowMs) + lendable;
      double burst = isOverloaded ? TenantQuotas.OVERLOAD_BURST_FRACTION * all : all;
      double ratePerS = all * 1_000 / bounds.windowMs();
      if (!isPaced) {
        isPaced = true;
        pace.setSize(ratePerS, burst, startMs);
      }
      pace.setSize(ratePerS, burst, nowMs);
      return pace.tryTake(cost, nowMs);
    }

    private void advance(long nowMs) {
      while (!published.isEmpty()
          && published.peekFirst().atMs <= nowMs - FleetQuotas.SETTLING_MS) {
        settledTotal = published.removeFirst().total;
      }
    }
  }

  private record Published(long total, long atMs) {}

  /** Creates a lender without credit, in a process that starts now. */
  public QuotaLender(QuotaBounds bounds, long nowMs) {
    this.bounds = bounds;
    this.startMs = nowMs;
  }

  /** Sets the limits of all tenants that have one; a lower limit holds at once. */
  public void setLimits(Map<String, QuotaLimit> newLimits) {
    limits = Map.copyOf(newLimits);
    lentByTenant.keySet().retainAll(newLimits.keySet());
  }

  /** Sets what may be lent beyond the loans that all instances know of. */
  public void setCredit(QuotaCredit newCredit, long nowMs) {
    credit = newCredit;
    lentByTenant.values().forEach(lent -> lent.advance(nowMs));
  }

  /**
   * Lends the cost of a request; returns false if it exceeds the credit. A question that arrives
   * again after its loan was granted gets the same answer and counts once.
   *
   * @param number number of the request at the borrower
   */
  public boolean lend(String borrower, long number, String tenant, long cost, long nowMs) {
    Borrower known = borrowers.computeIfAbsent(borrower, name -> new Borrower());
    if (known.open.containsKey(number)) {
      return true;
    }
    QuotaLimit limit = limits.get(tenant);
    if (limit == null || cost <= 0 || number <= known.settled) {
      return false;
    }
    Lent lent = lentByTenant.computeIfAbsent(tenant, name -> new Lent(nowMs));
    double lendable = credit.fraction(tenant, nowMs) * bounds.divided(limit);
    if (lent.total - lent.settledTotal + cost > lendable
        || !lent.tryPace(cost, lendable, credit.overloaded().contains(tenant), nowMs)) {
      return false;
    }
    lent.total += cost;
    lent.used.add(cost, nowMs);
    long untilMs = nowMs + bounds.windowMs() + MAX_USE_DELAY_MS;
    known.open.put(number, new Loan(tenant, cost, untilMs));
    return true;
  }

  /**
   * Records a report of a borrower that the next sums include.
   *
   * @param settled number up to which its loans are used, with the use in the report, or returned
   */
  public void recordReport(String borrower, long settled) {
    Borrower known = borrowers.get(borrower);
    if (known != null) {
      known.settled = Math.max(known.settled, settled);
      known.open.headMap(settled, true).clear();
    }
  }

  /** Keeps the open loans of a process that was lost or replaced until they left the window. */
  public void recordLost(String borrower) {
    Borrower lost = borrowers.remove(borrower);
    if (lost != null) {
      lostLoans.addAll(lost.open.values());
    }
  }

  /** Records that the open loans have been published. */
  public void recordPublished(long nowMs) {
    lentByTenant.values().forEach(lent -> lent.published.addLast(new Published(lent.total, nowMs)));
  }

  /** Returns the sum of the open loans by tenant. */
  public Map<String, Long> openLoans(long nowMs) {
    Map<String, Long> sums = new HashMap<>();
    lostLoans.removeIf(loan -> nowMs >= loan.untilMs);
    lostLoans.forEach(loan -> sums.merge(loan.tenant, loan.cost, Long::sum));
    for (Borrower borrower : borrowers.values()) {
      borrower.open.values().removeIf(loan -> nowMs >= loan.untilMs);
      borrower.open.values().forEach(loan -> sums.merge(loan.tenant, loan.cost, Long::sum));
    }
    return sums;
  }
}
