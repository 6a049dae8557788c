package org.apricotstand.quota;

import java.util.Map;
import java.util.Set;

/**
 * Fractions of the limits that this instance may use. They are valid until a time that follows from
 * the age of the news; after it, at most the equal part applies, also in a process that was paused.
 *
 * @param equalPart part of each limit that is kept for this instance whatever its demand; 0 while
 *     the number of instances is not known
 * @param defaultPart fraction for tenants that are not listed
 * @param fractions fraction of the limit, by tenant
 * @param overloaded tenants whose demand exceeds their limit
 * @param validUntilMs monotonic time from which the fractions are not valid
 * @param equalFromMs monotonic time from which the whole equal part may be used: what other
 *     instances had used of it has left the window by then
 * @param mayBorrow whether the relay of this instance lends to it while the fractions are valid
 */
public record QuotaShares(
    double equalPart,
    double defaultPart,
    Map<String, Double> fractions,
    Set<String> overloaded,
    long validUntilMs,
    long equalFromMs,
    boolean mayBorrow) {

  /** Shares of an instance that does not know the fleet yet. */
  public static final QuotaShares NONE = new QuotaShares(0, Map.of(), Set.of(), 0, 0);

  /** Creates shares that do not change with the map. */
  public QuotaShares {
    fractions = Map.copyOf(fractions);
    overloaded = Set.copyOf(overloaded);
  }

  /** Creates shares without credit of a relay; tenants that are not listed have the equal part. */
  public QuotaShares(
      double equalPart,
      Map<String, Double> fractions,
      Set<String> overloaded,
      long validUntilMs,
      long equalFromMs) {
    this(equalPart, equalPart, fractions, overloaded, validUntilMs, equalFromMs, false);
  }

  /** Returns whether this instance may ask its relay for credit now. */
  public boolean mayBorrow(long nowMs) {
    return mayBorrow && nowMs < validUntilMs;
  }

  /** Returns the fraction of the limit of a tenant that this instance may use now. */
  public double fraction(String tenant, long nowMs) {
    double fraction = fractions.getOrDefault(tenant, defaultPart);
    if (nowMs < validUntilMs) {
      return fraction;
    }
    return nowMs < equalFromMs ? Math.min(fraction, equalPart) : equalPart;
  }

  /** Returns the shares of an instance that is out of contact from now on. */
  QuotaShares withoutContact(double newEqualPart, long nowMs) {
    return new QuotaShares(
        newEqualPart,
        Math.min(defaultPart, newEqualPart),
        fractions,
        overloaded,
        Math.min(validUntilMs, nowMs),
        equalFromMs,
        false);
  }
}
