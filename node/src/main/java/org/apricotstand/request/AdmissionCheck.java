package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.Tenant;

/** Decides whether the API key of a request admits it. No result contains the key. */
final class AdmissionCheck {

  /** Code of requests without an API key, with an unknown one or with several. */
  static final String UNAUTHORIZED = "unauthorized";

  private static final String SCHEME = "Bearer ";

  /** Result of a check. */
  sealed interface Result {}

  /** The request may run. */
  record Admitted(Admission admission) implements Result {}

  /**
   * The request must not run.
   *
   * @param status HTTP status
   * @param code error code
   * @param retryAfterMs time after which the caller may retry; 0 if a retry is useless
   */
  record Refused(int status, String code, long retryAfterMs) implements Result {}

  /** Checks a request against the configuration of the view. */
  Result check(HttpHeaders headers, Route route, FleetView view) {
    RoutingPlan plan = view.plan();
    if (!plan.hasTenants() || route.authExempt()) {
      return new Admitted(new Admission(plan, Optional.empty()));
    }
    Optional<Tenant> tenant = bearerKey(headers).flatMap(plan::findTenant);
    return tenant.isPresent()
        ? new Admitted(new Admission(plan, tenant))
        : new Refused(401, UNAUTHORIZED, 0);
  }

  private static Optional<String> bearerKey(HttpHeaders headers) {
    List<String> values = headers.getAll(HttpHeaderNames.AUTHORIZATION);
    if (values.size() != 1) {
      return Optional.empty();
    }
    String value = values.getFirst().strip();
    boolean isBearer = value.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
    return isBearer ? Optional.of(value.substring(SCHEME.length()).strip()) : Optional.empty();
  }
}
