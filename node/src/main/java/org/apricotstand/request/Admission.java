package org.apricotstand.request;

import java.util.Optional;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.Tenant;

/**
 * What a request was admitted under; it keeps this until its end, whatever is configured later.
 *
 * @param plan configuration at the admission
 * @param tenant tenant of the caller's API key; empty if the request needed none
 */
record Admission(RoutingPlan plan, Optional<Tenant> tenant) {

  /** Returns the priority of the request on a route with the given priority. */
  int priorityOr(int routePriority) {
    return tenant.map(known -> known.priorityOr(routePriority)).orElse(routePriority);
  }

  /** Returns the name of the tenant; null if there is none. */
  String tenantName() {
    return tenant.map(Tenant::name).orElse(null);
  }
}
