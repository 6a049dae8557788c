package org.apricotstand.quota;

/**
 * What one or more instances know of a tenant's requests.
 *
 * @param demandPerS units a second that callers offer, admitted or not
 * @param used units that were admitted in the last window
 */
public record TenantUse(long demandPerS, long used) {

  static final TenantUse NONE = new TenantUse(0, 0);

  /** Returns the sum with the use at other instances. */
  public TenantUse plus(TenantUse other) {
    return new TenantUse(demandPerS + other.demandPerS, used + other.used);
  }

  TenantUse max(TenantUse other) {
    return new TenantUse(Math.max(demandPerS, other.demandPerS), Math.max(used, other.used));
  }

  TenantUse min(TenantUse other) {
    return new TenantUse(Math.min(demandPerS, other.demandPerS), Math.min(used, other.used));
  }
}
