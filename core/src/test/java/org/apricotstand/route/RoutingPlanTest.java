package org.apricotstand.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class RoutingPlanTest {

  private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_096, 3_000, 15_000);

  private static Route route(String name, String prefix, WeightedService... services) {
    return new Route(
        name,
        "shop.example",
        prefix,
        RequestKind.IDEMPOTENT,
        1_000,
        100,
        2_000,
        2,
        0,
        false,
        List.of(services));
  }

  private static RoutingPlan plan(Route... routes) {
    return new RoutingPlan(7, List.of(routes), List.of(), LIMITS);
  }

  // Guards against a short prefix that hides a longer one listed after it.
  @Test
  void longestPrefixWins() {
    RoutingPlan plan =
        plan(
            route("all", "/a/", new WeightedService("s", 1)),
            route("part", "/a/b/", new WeightedService("s", 1)));
    assertThat(plan.find("shop.example", "/a/b/c").orElseThrow().name()).isEqualTo("part");
    assertThat(plan.find("shop.example", "/a/bc").orElseThrow().name()).isEqualTo("all");
  }

  // Guards against a 404 for a host that is sent with a port or in upper case.
  @Test
  void hostIsMatchedWithoutCaseAndPort() {
    RoutingPlan plan = plan(route("all", "/a/", new WeightedService("s", 1)));
    assertThat(plan.find("SHOP.example:8080", "/a/x?q=1").isPresent()).isTrue();
    assertThat(plan.find("other.example", "/a/x").isPresent()).isFalse();
  }

  // Guards against a traffic split that ignores its weights or never chooses its last service.
  @Test
  void splitFollowsTheWeights() {
    Route split =
        route("split", "/a/", new WeightedService("big", 90), new WeightedService("small", 10));
    assertThat(split.serviceFor(0.0)).isEqualTo("big");
    assertThat(split.serviceFor(0.89)).isEqualTo("big");
    assertThat(split.serviceFor(0.91)).isEqualTo("small");
    assertThat(split.serviceFor(1.0)).isEqualTo("small");
  }
}
