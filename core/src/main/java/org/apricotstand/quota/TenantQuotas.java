package org.apricotstand.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits the requests of tenants at this instance within its shares of their limits. Takes constant
 * time for each request, whatever the number of tenants.
 *
 * <pre>{@code
 * quotas.setLimits(limits, nowMs);
 * quotas.setShares(shares);
 * if (!quotas.tryTake("tenant", cost, nowMs)) {
 *   long waitMs = quotas.waitMs("tenant", cost, nowMs);
 * }
 * }</pre>
 */
public final class TenantQuotas {

  /**
   * Part of the own share that may be used at once while the tenant's demand exceeds its limit; the
   * rest is spread over the window, since it would be used up at the start of each window.
   */
  static final double OVERLOAD_BURST_FRACTION = 0.15;

  /** Time in which a share follows demand: two reports, the settling time and delays. */
  private static final long SHARE_FOLLOWS_MS = 2_500;

  private static final double MS_PER_S = 1_000;

  private final QuotaBounds bounds;
  private final Map<String, Account> accounts = new HashMap<>();
  private QuotaShares shares = QuotaShares.NONE;

  /** The limit of a tenant and what this instance has left of it. */
  private static final class Account {
    private final UseWindow used;
    private final TokenBucket pace;
    private QuotaLimit limit;

    private Account(QuotaLimit limit, long windowMs, long nowMs) {
      this.limit = limit;
      this.used = new UseWindow(windowMs, nowMs);
      this.pace = new TokenBucket(nowMs);
    }
  }

  /** Creates quotas without tenants. */
  public TenantQuotas(QuotaBounds bounds) {
    this.bounds = bounds;
  }

  /** Sets the limits of all tenants that have one; a lower limit holds at once. */
  public void setLimits(Map<String, QuotaLimit> limits, long nowMs) {
    accounts.keySet().retainAll(limits.keySet());
    limits.forEach(
        (tenant, limit) -> {
          Account account =
              accounts.computeIfAbsent(
                  tenant, name -> new Account(limit, bounds.windowMs(), nowMs));
          account.limit = limit;
        });
  }

  /** Sets the shares of this instance. */
  public void setShares(QuotaShares newShares) {
    shares = newShares;
  }

  /** Returns whether a tenant has a limit. */
  public boolean isLimited(String tenant) {
    return accounts.containsKey(tenant);
  }

  /** Takes the cost of a request; returns false if it exceeds the share of this instance. */
  public boolean tryTake(String tenant, double cost, long nowMs) {
    Account account = accounts.get(tenant);
    if (account == null || cost <= 0) {
      return true;
    }
    double share = updateShare(tenant, account, nowMs);
    boolean isTaken = account.used.sum(nowMs) + cost <= share && account.pace.tryTake(cost, nowMs);
    if (isTaken) {
      account.used.add(cost, nowMs);
    }
    return isTaken;
  }

  /** Counts the cost of a request that runs on credit of the relay. */
  public void addBorrowed(String tenant, double cost, long nowMs) {
    Account account = accounts.get(tenant);
    if (account != null) {
      account.used.add(cost, nowMs);
    }
  }

  /** Returns whether the relay of this instance lends to it. */
  public boolean mayBorrow(long nowMs) {
    return shares.mayBorrow(nowMs);
  }

  /** Gives back the cost of a request that no target has run. */
  public void giveBack(String tenant, double cost, long takenMs, long nowMs) {
    Account account = accounts.get(tenant);
    if (account != null) {
      updateShare(tenant, account, nowMs);
      account.pace.giveBack(cost);
      account.used.takeBack(cost, takenMs, nowMs);
    }
  }

  /** Returns the time until the share of this instance may have room for a request. */
  public long waitMs(String tenant, double cost, long nowMs) {
    Account account = accounts.get(tenant);
    if (account == null) {
      return 0;
    }
    double share = updateShare(tenant, account, nowMs);
    if (share < cost) {
      // The request itself has raised the demand of this instance, and with it the share.
      return SHARE_FOLLOWS_MS;
    }
    double missing = account.used.sum(nowMs) + cost - share;
    // What is used leaves the window evenly in the mean.
    double windowWaitMs = missing <= 0 ? 0 : bounds.windowMs() * Math.min(1, missing / share);
    return Math.max((long) windowWaitMs, account.pace.waitMs(cost, nowMs));
  }

  /** Returns what this instance has admitted of a tenant in the last window. */
  public long used(String tenant, long nowMs) {
    Account account = accounts.get(tenant);
    return account == null ? 0 : (long) Math.ceil(account.used.sum(nowMs));
  }

  /** Sizes the pace by the share that is valid now and returns the units of it in a window. */
  private double updateShare(String tenant, Account account, long nowMs) {
    double share = shares.fraction(tenant, nowMs) * bounds.divided(account.limit);
    double burst = shares.overloaded().contains(tenant) ? OVERLOAD_BURST_FRACTION * share : share;
    account.pace.setSize(share * MS_PER_S / bounds.windowMs(), burst, nowMs);
    return share;
  }
}
