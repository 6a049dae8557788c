package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Set;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.AdapterUsage;
import org.junit.jupiter.api.Test;

class PopularityTest {

  private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

  private final Popularity popularity = new Popularity();
  private final AdapterUsage use = popularity.at("e1", key -> 3, () -> 250);

  // Guards against the drop of an adapter that only another instance uses.
  @Test
  void anAdapterIsInUseWhenAnyInstanceUsesItAtTheEngine() {
    popularity.uses("n1", Map.of("e1", Set.of()));
    popularity.uses("n2", Map.of("e1", Set.of("m/a1")));
    popularity.uses("n3", Map.of("e2", Set.of("m/a2")));
    assertThat(use.isInUse(ADAPTER)).isTrue();
    assertThat(use.isInUse(new AdapterKey("m", "a2"))).isFalse();
  }

  // Guards against places that stay taken for an instance that is gone.
  @Test
  void forgetsTheUseOfAnInstance() {
    popularity.uses("n2", Map.of("e1", Set.of("m/a1")));
    popularity.forget("n2");
    assertThat(use.isInUse(ADAPTER)).isFalse();
  }

  @Test
  void countsArrivalsOfAllReports() {
    popularity.arrived(Map.of(ADAPTER, 2));
    popularity.arrived(Map.of(ADAPTER, 1));
    assertThat(use.popularity(ADAPTER)).isGreaterThan(2.0);
    assertThat(use.declaredVersion(ADAPTER)).isEqualTo(3);
    assertThat(use.usageReportLagMs()).isEqualTo(250);
  }
}
