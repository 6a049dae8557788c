package org.apricotstand.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.tenant.FreshnessBounds;
import org.apricotstand.tenant.Tenant;

/** Decides whether the API key of a request admits it. No result contains the key. */
final class AdmissionCheck {

  /** Code of requests without an API key, with an unknown one or with several. */
  static final String UNAUTHORIZED = "unauthorized";

  /** Code of requests whose key may have been removed, or added, since the last contact. */
  static final String CONFIGURATION_STALE = "configuration_stale";

  /** Time after which a caller may retry; a reader of the store retries several times a second. */
  private static final long STALE_RETRY_MS = 1_000;

  private static final String SCHEME = "Bearer ";

  private final FreshnessBounds bounds;
  private final LongSupplier clock;

  /**
   * Creates a check.
   *
   * @param clock monotonic time in milliseconds, the one that confirms configurations
   */
  AdmissionCheck(FreshnessBounds bounds, LongSupplier clock) {
    this.bounds = bounds;
    this.clock = clock;
  }

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
    Optional<String> key = bearerKey(headers);
    if (key.isEmpty()) {
      return new Refused(401, UNAUTHORIZED, 0);
    }
    Optional<Tenant> tenant = plan.findTenant(key.get());
    // The clock is read after the request arrived and after the view, so that a pause of the
    // process before this line makes the configuration older.
    long nowMs = clock.getAsLong();
    if (tenant.isPresent()) {
      return bounds.canAdmit(view.planConfirmedMs(), nowMs)
          ? new Admitted(new Admission(plan, tenant))
          : new Refused(503, CONFIGURATION_STALE, STALE_RETRY_MS);
    }
    return bounds.canRejectKey(view.planConfirmedMs(), nowMs)
        ? new Refused(401, UNAUTHORIZED, 0)
        : new Refused(503, CONFIGURATION_STALE, STALE_RETRY_MS);
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
