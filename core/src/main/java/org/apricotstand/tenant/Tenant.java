package org.apricotstand.tenant;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalInt;

/**
 * A customer whose requests are told apart by API keys. Holds no key, so that it can be logged.
 *
 * @param name name, which targets receive with each request
 * @param priority priority of the tenant's requests; 0 is the most urgent; empty for that of the
 *     route
 * @param quota limit over all instances
 */
public record Tenant(String name, OptionalInt priority, Quota quota) {

  /** Checks that the name can be sent as a header. */
  public Tenant {
    checkArgument(isHeaderValue(name), "the name is empty or not printable ASCII");
    checkArgument(priority.orElse(0) >= 0, "priority is negative: %s", priority.orElse(0));
  }

  private static boolean isHeaderValue(String text) {
    return !text.isEmpty()
        && text.equals(text.strip())
        && text.chars().allMatch(character -> character >= ' ' && character <= '~');
  }

  /** Returns the priority of the tenant's requests on a route with the given priority. */
  public int priorityOr(int routePriority) {
    return priority.orElse(routePriority);
  }
}
