package org.apricotstand.quota;

import java.util.Map;

/**
 * Fractions of the limits that this instance may use. They are valid until a time that follows from
 * the age of the news; after it, the equal part applies, also in a process that was paused.
 *
 * @param equalPart part of each limit that is kept for this instance whatever its demand; 0 while
 *     the number of instances is not known
 * @param fractions fraction of the limit, by tenant; the equal part for tenants that are not listed
 * @param validUntilMs monotonic time from which only the equal part may be used
 */
public record QuotaShares(double equalPart, Map<String, Double> fractions, long validUntilMs) {

  /** Shares of an instance that does not know the fleet yet. */
  public static final QuotaShares NONE = new QuotaShares(0, Map.of(), 0);

  /** Creates shares that do not change with the map. */
  public QuotaShares {
    fractions = Map.copyOf(fractions);
  }

  /** Returns the fraction of the limit of a tenant that this instance may use now. */
  public double fraction(String tenant, long nowMs) {
    return nowMs < validUntilMs ? fractions.getOrDefault(tenant, equalPart) : equalPart;
  }
}
