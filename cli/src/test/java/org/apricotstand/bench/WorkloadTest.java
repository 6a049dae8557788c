package org.apricotstand.bench;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against arrivals that differ between policies or do not follow the scenario. */
final class WorkloadTest {

  private static final long DURATION_MS = 600_000;
  private static final Scenario SCENARIO = Scenario.builtIn("lakeshore");
  private static final Workload WORKLOAD = Workload.generate(SCENARIO, 7, DURATION_MS);

  @Test
  void dependsOnTheSeedAlone() {
    assertThat(Workload.generate(SCENARIO, 7, DURATION_MS)).isEqualTo(WORKLOAD);
    assertThat(Workload.generate(SCENARIO, 8, DURATION_MS)).isNotEqualTo(WORKLOAD);
  }

  @Test
  void arrivalsAreSortedAndFollowDeclaredRate() {
    double expected = SCENARIO.arrivals().requestsPerSecond() * DURATION_MS / 1_000;
    assertThat((double) WORKLOAD.requests().size()).isWithin(expected * 0.05).of(expected);
    assertThat(WORKLOAD.requests().stream().map(Workload.ModelRequest::atMs).toList()).isInOrder();
    assertThat(WORKLOAD.orders().stream().map(Workload.Order::atMs).toList()).isInOrder();
  }

  @Test
  void popularityIsSkewedAndShiftsAtHalfTime() {
    Map<Integer, Long> before = countsBetween(0, DURATION_MS / 2);
    Map<Integer, Long> after = countsBetween(DURATION_MS / 2, DURATION_MS);
    long highestCount = before.values().stream().mapToLong(count -> count).max().orElse(0);
    assertThat(highestCount).isGreaterThan(WORKLOAD.requests().size() / 2L / 5);
    long adaptersWithFewerRequests =
        before.entrySet().stream()
            .filter(entry -> entry.getValue() >= 20)
            .filter(entry -> after.getOrDefault(entry.getKey(), 0L) * 4 < entry.getValue())
            .count();
    assertThat(adaptersWithFewerRequests).isAtLeast(1);
  }

  @Test
  void someOrdersAreDuplicated() {
    long distinctOrders =
        WORKLOAD.orders().stream().map(Workload.Order::identity).distinct().count();
    assertThat(distinctOrders).isLessThan((long) WORKLOAD.orders().size());
  }

  private static Map<Integer, Long> countsBetween(long fromMs, long toMs) {
    return WORKLOAD.requests().stream()
        .filter(request -> request.atMs() >= fromMs && request.atMs() < toMs)
        .collect(Collectors.groupingBy(Workload.ModelRequest::adapter, Collectors.counting()));
  }
}
