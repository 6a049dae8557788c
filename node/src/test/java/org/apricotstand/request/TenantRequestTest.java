package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;
import org.apricotstand.route.WeightedService;
import org.apricotstand.tenant.Quota;
import org.apricotstand.tenant.Tenant;
import org.apricotstand.tenant.TenantKeys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TenantRequestTest extends RequestRouterFixture {

  private static final String KEY = "k7b2-secret";
  private static final int ROUTE_PRIORITY = 2;

  private static Route route(String prefix, boolean authExempt) {
    return new Route(
        "r" + prefix,
        "h",
        prefix,
        RequestKind.NON_IDEMPOTENT,
        5_000,
        500,
        2_000,
        1,
        ROUTE_PRIORITY,
        false,
        List.of(new WeightedService("s", 1)),
        authExempt);
  }

  private static Optional<TenantKeys> tenantKeys(OptionalInt priority) {
    Tenant tenant = new Tenant("hule930", priority, Quota.UNLIMITED);
    return Optional.of(TenantKeys.builder().add(tenant, List.of("other-key", KEY)).build());
  }

  private FleetView tenantView(Optional<TenantKeys> keys, TargetEntry target) {
    RoutingPlan plan =
        new RoutingPlan(
            1,
            List.of(route("/p/", false), route("/open/", true)),
            List.of(new ServiceSpec("s", 100, Optional.empty())),
            new CallerLimits(16_384, 65_536, 3_000, 15_000),
            keys);
    return new FleetView(
        plan,
        confirmedMs,
        Map.of("s", List.of(target)),
        Map.of(),
        Set.of(),
        Map.of(),
        Map.of(),
        Set.of("n"),
        1,
        false,
        Map.of());
  }

  private void serve(Optional<TenantKeys> keys) throws IOException {
    view = tenantView(keys, target("t1", ANSWERS_DONE));
  }

  private String lastHead() {
    return targets.getFirst().heads().getLast();
  }

  // Guards against a key that reaches a target, and against a caller that names another tenant.
  @ParameterizedTest
  @ValueSource(strings = {"Bearer", "bearer", "BEARER"})
  void theTenantsNameReplacesTheKey(String scheme) throws IOException {
    serve(tenantKeys(OptionalInt.empty()));
    String answer = call("X-Tenant: forged\r\nAuthorization: " + scheme + " " + KEY + "\r\n");
    assertThat(answer).endsWith("done");
    assertThat(lastHead()).contains("x-tenant: hule930");
    assertThat(lastHead()).doesNotContain("forged");
    assertThat(lastHead()).doesNotContain(KEY);
    assertThat(lastHead().toLowerCase()).doesNotContain("authorization");
  }

  // Guards against requests that run without a key of the configuration.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "Authorization: Bearer wrong\r\n",
        "Authorization: Bearer\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: " + KEY + "\r\n",
        "Authorization: Basic " + KEY + "\r\n",
        "Authorization: Bearer " + KEY + "x\r\n",
        "Authorization: Bearer " + KEY + "\r\nAuthorization: Bearer " + KEY + "\r\n",
        "Authorization: Bearer wrong\r\nAuthorization: Bearer " + KEY + "\r\n",
        "X-Tenant: hule930\r\n"
      })
  void aRequestWithoutOneKnownKeyIsRefused(String headers) throws IOException {
    serve(tenantKeys(OptionalInt.empty()));
    String answer = call(headers);
    assertThat(answer).startsWith("HTTP/1.1 401 ");
    assertThat(answer.toLowerCase()).contains("www-authenticate: bearer");
    assertThat(answer).doesNotContain(KEY);
    assertThat(countHeads()).isEqualTo(0);
  }

  // Guards against exempt routes that need a key, and against a key that they pass on.
  @Test
  void anExemptRouteNeedsNoKeyAndPassesNoneOn() throws IOException {
    serve(tenantKeys(OptionalInt.empty()));
    String start = "GET /open/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\n";
    assertThat(sendRaw(start + "X-Tenant: forged\r\n\r\n")).endsWith("done");
    assertThat(lastHead()).doesNotContain("x-tenant");
    assertThat(lastHead()).doesNotContain("forged");
    assertThat(sendRaw(start + "Authorization: Bearer " + KEY + "\r\n\r\n")).endsWith("done");
    assertThat(lastHead()).doesNotContain(KEY);
  }

  // Guards against a priority of the route that wins over that of the tenant.
  @Test
  void theTenantsPriorityComesBeforeTheRoutes() throws IOException {
    TargetEntry target = target("t1", ANSWERS_DONE);
    List<String> urgencies = new ArrayList<>();
    for (OptionalInt priority : List.of(OptionalInt.of(0), OptionalInt.empty())) {
      view = tenantView(tenantKeys(priority), target);
      call("Authorization: Bearer " + KEY + "\r\n");
      urgencies.add(ScriptedTarget.valueOf(lastHead(), "x-urgency", ""));
    }
    assertThat(urgencies).containsExactly("1", "5").inOrder();
  }

  // Guards against deployments without tenants whose targets authenticate callers themselves.
  @Test
  void withoutTenantsTheHeadersOfTheCallerArePassedOn() throws IOException {
    serve(Optional.empty());
    assertThat(call("Authorization: Bearer any\r\nX-Tenant: own\r\n")).endsWith("done");
    assertThat(lastHead()).contains("Authorization: Bearer any");
    assertThat(lastHead()).contains("X-Tenant: own");
  }
}
