package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.quota.LoanRequests;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.quota.TenantQuotas;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.Quota;
import org.apricotstand.tenant.QuotaUnit;
import org.apricotstand.tenant.Tenant;

/**
 * Takes the cost of requests from the quotas of their tenants. Belongs to the traffic thread; what
 * it takes is reported to the other instances through the {@link LocalLoadTracker}.
 */
final class QuotaGate {

  private static final EventLog LOG = EventLog.of(QuotaGate.class);

  /** Two numbers of tokens, at most nine digits each, as in {@code 1200,300}. */
  private static final Pattern TOKEN_COUNT =
      Pattern.compile("\\s*(\\d{1,9})\\s*[,;:/+ ]\\s*(\\d{1,9})\\s*");

  /** Least time after which a refused caller may retry: until the shares follow its demand. */
  private static final long MIN_RETRY_MS = 500;

  /**
   * Age up to which a cost that is given back is taken off the reported use. Older costs stay in
   * the reports until they leave the window, so that reports show too much rather than too little.
   */
  private static final long MAX_REPORTED_GIVE_BACK_AGE_MS = 250;

  private static final long LOG_PERIOD_MS = 1_000;

  private final TenantQuotas quotas;
  private final Supplier<QuotaShares> shares;
  private final LocalLoadTracker tracker;
  private final HeaderNames names;
  private final Metrics metrics;
  private final Random random;
  private final LongSupplier clock;
  private final LoanRequests loans = new LoanRequests();
  private RoutingPlan plan;
  private long nextLogMs = Long.MIN_VALUE;
  private long refusedSinceLog;

  QuotaGate(
      QuotaBounds bounds,
      Supplier<QuotaShares> shares,
      LocalLoadTracker tracker,
      HeaderNames names,
      Metrics metrics,
      Random random,
      LongSupplier clock) {
    this.quotas = new TenantQuotas(bounds);
    this.shares = shares;
    this.tracker = tracker;
    this.names = names;
    this.metrics = metrics;
    this.random = random;
    this.clock = clock;
  }

  /** Follows the limits of a configuration; a lower one holds from now on. */
  void setPlan(RoutingPlan newPlan) {
    if (plan != newPlan) {
      plan = newPlan;
      quotas.setLimits(newPlan.quotaLimits(), clock.getAsLong());
    }
  }

  /** Returns the ticket of a request, for which nothing is taken yet. */
  QuotaTicket ticket(Admission admission, HttpHeaders headers) {
    Tenant tenant = admission.tenant().orElse(null);
    if (tenant == null || !quotas.isLimited(tenant.name())) {
      return new QuotaTicket(this, null, 0);
    }
    return new QuotaTicket(this, tenant.name(), cost(tenant.quota(), headers));
  }

  private long cost(Quota quota, HttpHeaders headers) {
    if (quota.unit() == QuotaUnit.REQUESTS) {
      return 1;
    }
    String declared = headers.get(names.tokenCount());
    Matcher numbers = declared == null ? null : TOKEN_COUNT.matcher(declared);
    return numbers != null && numbers.matches()
        ? Math.max(1, Long.parseLong(numbers.group(1)) + Long.parseLong(numbers.group(2)))
        : quota.plainTokens();
  }

  /** Counts the demand of a new request, whether it is admitted or not. */
  void recordOffered(String tenant, long cost) {
    tracker.recordOffered(tenant, cost);
  }

  boolean tryTake(String tenant, long cost) {
    quotas.setShares(shares.get());
    boolean isTaken = quotas.tryTake(tenant, cost, clock.getAsLong());
    if (isTaken) {
      tracker.recordAdmitted(tenant, cost);
      metrics.count("quota.admitted");
    }
    return isTaken;
  }

  /** Counts a request that the quota has no room for. */
  void recordRefused(String tenant) {
    metrics.count("quota.refused");
    refusedSinceLog++;
    long nowMs = clock.getAsLong();
    if (nowMs >= nextLogMs) {
      LOG.info("quota_refused", "tenant", tenant, "refused_since_last", refusedSinceLog);
      refusedSinceLog = 0;
      nextLogMs = nowMs + LOG_PERIOD_MS;
    }
  }

  /** Returns whether the relay may lend the cost of a request. */
  boolean mayBorrow(String tenant, long cost) {
    long nowMs = clock.getAsLong();
    return quotas.mayBorrow(nowMs) && loans.mayAsk(tenant, cost, nowMs);
  }

  /** Opens a request for credit; returns its number. */
  long askLoan(String tenant, long cost, long waitMs) {
    return loans.ask(tenant, cost, waitMs, clock.getAsLong());
  }

  /** Uses the answer of the relay to an open request; returns whether the cost is taken. */
  boolean tryTakeLoan(String tenant, long cost, long number, boolean isLent) {
    long nowMs = clock.getAsLong();
    boolean isTaken = loans.onAnswer(number, isLent, nowMs);
    if (isTaken) {
      quotas.addBorrowed(tenant, cost, nowMs);
      tracker.recordAdmitted(tenant, cost);
      metrics.count("quota.admitted");
      metrics.count("quota.borrowed");
    }
    endLoan(number);
    return isTaken;
  }

  /** Ends a request for credit that the relay has not answered in time. */
  void endUnansweredLoan(long number) {
    metrics.count("quota.unanswered");
    loans.onUnanswered(number, clock.getAsLong());
    endLoan(number);
  }

  /** Ends a request for credit that is of no use any more. */
  void endLoan(long number) {
    // After the use was counted, which a report with this number has to contain.
    tracker.setSettledLoans(loans.settle(number));
  }

  void giveBack(String tenant, long cost, long takenMs) {
    quotas.setShares(shares.get());
    quotas.giveBack(tenant, cost, takenMs, clock.getAsLong());
    // Reported use must not sink by what has left the window or was reported in another part of it.
    if (clock.getAsLong() - takenMs <= MAX_REPORTED_GIVE_BACK_AGE_MS) {
      tracker.recordAdmitted(tenant, -cost);
    }
  }

  /** Returns the time after which a refused request may be sent again, spread over half of it. */
  long retryAfterMs(String tenant, long cost) {
    long waitMs = Math.max(MIN_RETRY_MS, quotas.waitMs(tenant, cost, clock.getAsLong()));
    return waitMs + (long) (random.nextDouble() * waitMs / 2);
  }

  long nowMs() {
    return clock.getAsLong();
  }
}
