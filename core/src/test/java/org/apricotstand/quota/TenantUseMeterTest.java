package org.apricotstand.quota;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TenantUseMeterTest {

  private final TenantUseMeter meter = new TenantUseMeter(8_000, 0);

  // Guards against refused demand that does not count, so that no share grows for it.
  @Test
  void measuresDemandAndUse() {
    Map<String, TenantUse> uses = Map.of();
    for (long nowMs = 500; nowMs <= 20_000; nowMs += 500) {
      uses = meter.update(Map.of("a", 500L), Map.of("a", 100L), nowMs);
    }
    assertThat(uses.get("a").offered()).isIn(Range.closed(7_990L, 8_001L));
    assertThat(uses.get("a").used()).isIn(Range.closed(1_600L, 1_700L));
  }

  // Guards against messages that grow with all tenants that ever sent a request.
  @Test
  void tenantsWithoutRecentDemandAreForgotten() {
    meter.update(Map.of("a", 500L), Map.of("a", 500L), 500);
    for (long nowMs = 1_000; nowMs <= 40_000; nowMs += 500) {
      meter.update(Map.of("b", 1L), Map.of(), nowMs);
    }
    assertThat(meter.update(Map.of(), Map.of(), 40_500).keySet()).containsExactly("b");
    meter.update(Map.of(), Map.of(), 60_000);
    assertThat(meter.update(Map.of(), Map.of(), 70_000)).isEmpty();
  }
}
