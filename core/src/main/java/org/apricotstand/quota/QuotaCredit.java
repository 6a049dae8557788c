package org.apricotstand.quota;

import java.util.Map;
import java.util.Set;

/**
 * Fractions of the limits that a relay may lend beyond what it has lent already. After the deadline
 * it lends nothing, also in a process that was paused.
 *
 * @param defaultPart fraction for tenants that are not listed
 * @param fractions fraction of the limit, by tenant
 * @param overloaded tenants whose demand exceeds their limit
 * @param validUntilMs monotonic time from which nothing may be lent
 */
public record QuotaCredit(
    double defaultPart, Map<String, Double> fractions, Set<String> overloaded, long validUntilMs) {

  /** Credit of an instance that relays for no other one. */
  public static final QuotaCredit NONE = new QuotaCredit(0, Map.of(), Set.of(), 0);

  /** Creates a credit that does not change with the map. */
  public QuotaCredit {
    fractions = Map.copyOf(fractions);
    overloaded = Set.copyOf(overloaded);
  }

  /** Returns the fraction of the limit of a tenant that may be lent now. */
  public double fraction(String tenant, long nowMs) {
    return nowMs < validUntilMs ? fractions.getOrDefault(tenant, defaultPart) : 0;
  }
}
