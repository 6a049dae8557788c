package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.WeightedService;
import org.apricotstand.tenant.FreshnessBounds;
import org.apricotstand.tenant.Quota;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.tenant.TenantKeys;
import org.junit.jupiter.api.Test;

class AdmissionCheckTest {

  private static final String KEY = "k7b2-secret";
  private static final FreshnessBounds STRICT = new FreshnessBounds(true, 5_000, 3_000);
  private static final long CONFIRMED_MS = 10_000;
  private static final Tenant TENANT = new Tenant("hule930", OptionalInt.empty(), Quota.UNLIMITED);

  private long nowMs = CONFIRMED_MS;

  private static Route route(boolean authExempt) {
    return new Route(
        "r",
        "h",
        "/",
        RequestKind.STREAM,
        5_000,
        500,
        2_000,
        1,
        0,
        false,
        List.of(new WeightedService("s", 1)),
        authExempt);
  }

  private static FleetView view(boolean hasTenants) {
    TenantKeys keys = TenantKeys.builder().add(TENANT, List.of(KEY)).build();
    RoutingPlan plan =
        new RoutingPlan(
            1,
            List.of(),
            List.of(),
            new CallerLimits(16_384, 65_536, 3_000, 15_000),
            hasTenants ? Optional.of(keys) : Optional.empty());
    return new FleetView(
        plan,
        CONFIRMED_MS,
        Map.of(),
        Map.of(),
        Set.of(),
        Map.of(),
        Map.of(),
        Set.of("n"),
        1,
        false,
        Map.of());
  }

  /** Returns the status of a refusal; 0 when the request is admitted. */
  private int check(FreshnessBounds bounds, String authorization, Route route, FleetView view) {
    HttpHeaders headers = new DefaultHttpHeaders();
    if (authorization != null) {
      headers.add(HttpHeaderNames.AUTHORIZATION, authorization);
    }
    return switch (new AdmissionCheck(bounds, () -> nowMs).check(headers, route, view)) {
      case AdmissionCheck.Admitted admitted -> 0;
      case AdmissionCheck.Refused refused -> {
        assertThat(refused.toString()).doesNotContain(KEY);
        assertThat(refused.retryAfterMs() > 0).isEqualTo(refused.status() == 503);
        yield refused.status();
      }
    };
  }

  private int checkKey(String key) {
    return check(STRICT, "Bearer " + key, route(false), view(true));
  }

  // Guards against a removed key that works at an instance whose configuration is too old, and
  // against an instance that refuses requests for good once it was cut off.
  @Test
  void aKnownKeyWorksOnlyWhileTheConfigurationIsFresh() {
    nowMs = CONFIRMED_MS + 4_800;
    assertThat(checkKey(KEY)).isEqualTo(0);
    nowMs = CONFIRMED_MS + 5_000;
    assertThat(checkKey(KEY)).isEqualTo(503);
    nowMs = CONFIRMED_MS + 4_000;
    assertThat(checkKey(KEY)).isEqualTo(0);
  }

  // Guards against a 401 for a key that other instances know already.
  @Test
  void anUnknownKeyIsRefusedForGoodOnlyWhileTheConfigurationIsRecent() {
    assertThat(checkKey("unknown")).isEqualTo(401);
    nowMs = CONFIRMED_MS + 3_001;
    assertThat(checkKey("unknown")).isEqualTo(503);
  }

  // Guards against callers without a key that retry for ever.
  @Test
  void aMissingKeyIsRefusedForGoodWhateverTheAge() {
    nowMs = CONFIRMED_MS + 60_000;
    assertThat(check(STRICT, null, route(false), view(true))).isEqualTo(401);
    assertThat(check(STRICT, "Basic " + KEY, route(false), view(true))).isEqualTo(401);
  }

  // Guards against health checks and plain callers that fail because the store is unreachable.
  @Test
  void requestsThatNeedNoKeyAreAdmittedWhateverTheAge() {
    nowMs = CONFIRMED_MS + 60_000;
    assertThat(check(STRICT, null, route(true), view(true))).isEqualTo(0);
    assertThat(check(STRICT, null, route(false), view(false))).isEqualTo(0);
  }

  // Guards against refusals in a deployment that did not ask for strict revocation.
  @Test
  void withoutStrictRevocationAKnownKeyWorksWhateverTheAge() {
    nowMs = CONFIRMED_MS + 60_000;
    FreshnessBounds bounds = FreshnessBounds.DEFAULT;
    assertThat(check(bounds, "Bearer " + KEY, route(false), view(true))).isEqualTo(0);
  }
}
