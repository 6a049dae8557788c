package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.AdapterUsage;
import org.junit.jupiter.api.Test;

class AdapterUsageTrackerTest {

  private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

  private final AdapterUsageTracker tracker = new AdapterUsageTracker();
  private final AdapterUsage usage = tracker.usageAt("e1", key -> 3, () -> 250);

  // Guards against the eviction of an adapter that only another instance uses.
  @Test
  void anAdapterIsInUseWhenAnyInstanceUsesItAtTheEngine() {
    tracker.setAdaptersInUse("n1", Map.of("e1", Set.of()));
    tracker.setAdaptersInUse("n2", Map.of("e1", Set.of("m/a1")));
    tracker.setAdaptersInUse("n3", Map.of("e2", Set.of("m/a2")));
    assertThat(usage.isInUse(ADAPTER)).isTrue();
    assertThat(usage.isInUse(new AdapterKey("m", "a2"))).isFalse();
  }

  // Guards against slots that stay occupied by the use of an instance that is gone.
  @Test
  void removesTheUseOfAnInstance() {
    tracker.setAdaptersInUse("n2", Map.of("e1", Set.of("m/a1")));
    tracker.removeInstance("n2");
    assertThat(usage.isInUse(ADAPTER)).isFalse();
  }

  // Guards against a popularity that counts the requests of only one report.
  @Test
  void countsArrivalsOfAllReports() {
    tracker.addArrivals(Map.of(ADAPTER, 2));
    tracker.addArrivals(Map.of(ADAPTER, 1));
    assertThat(usage.popularity(ADAPTER)).isGreaterThan(2.0);
    assertThat(usage.declaredVersion(ADAPTER)).isEqualTo(3);
    assertThat(usage.usageReportLagMs()).isEqualTo(250);
  }
}
