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

  private final QuotaBounds bounds;
  private final Map<String, Account> accounts = new HashMap<>();
  private QuotaShares shares = QuotaShares.NONE;

  /** The limit of a tenant and what this instance has left of it. */
  private static final class Account {
    private final TokenBucket bucket;
    private QuotaLimit limit;

    private Account(QuotaLimit limit, long nowMs) {
      this.limit = limit;
      this.bucket = new TokenBucket(nowMs);
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
          Account account = accounts.computeIfAbsent(tenant, name -> new Account(limit, nowMs));
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
    return account == null || bucketOf(tenant, account, nowMs).tryTake(cost, nowMs);
  }

  /** Gives back the cost of a request that no target has run. */
  public void giveBack(String tenant, double cost, long nowMs) {
    Account account = accounts.get(tenant);
    if (account != null) {
      bucketOf(tenant, account, nowMs).giveBack(cost);
    }
  }

  /**
   * Returns the time until the share of this instance has room for a request; {@code
   * Long.MAX_VALUE} while this instance has no share.
   */
  public long waitMs(String tenant, double cost, long nowMs) {
    Account account = accounts.get(tenant);
    return account == null ? 0 : bucketOf(tenant, account, nowMs).waitMs(cost, nowMs);
  }

  /** Returns the bucket of a tenant, sized by the share that is valid now. */
  private TokenBucket bucketOf(String tenant, Account account, long nowMs) {
    double fraction = shares.fraction(tenant, nowMs);
    account.bucket.setSize(
        fraction * account.limit.ratePerS(), fraction * bounds.capacity(account.limit), nowMs);
    return account.bucket;
  }
}
