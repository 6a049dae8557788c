package org.apricotstand.quota;

/**
 * What one or more instances know of a tenant's requests.
 *
 * @param offered units in a window that callers offer, admitted or not, at the present demand
 * @param used units that were admitted in the last window
 */
public record TenantUse(long offered, long used) {

  static final TenantUse NONE = new TenantUse(0, 0);

  /** Returns the sum with the use at other instances. */
  public TenantUse plus(TenantUse other) {
    return new TenantUse(offered + other.offered, used + other.used);
  }

  TenantUse max(TenantUse other) {
    return new TenantUse(Math.max(offered, other.offered), Math.max(used, other.used));
  }

  TenantUse min(TenantUse other) {
    return new TenantUse(Math.min(offered, other.offered), Math.min(used, other.used));
  }
}
