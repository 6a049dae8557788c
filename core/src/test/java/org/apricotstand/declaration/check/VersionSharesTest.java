package org.apricotstand.declaration.check;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Shift;
import org.apricotstand.declaration.VersionChoice;
import org.junit.jupiter.api.Test;

class VersionSharesTest {

  private static final int REQUESTS = 20_000;
  private static final double TOLERANCE_PERCENT = 2.0;

  private static Adapter adapter(Map<String, Integer> route, Shift shift) {
    return new Adapter(
        "letters", "base", List.of("v1", "v2", "v3"), route, null, null, null, shift, null, null);
  }

  // Guards against a report of shares that differ from the versions that requests get.
  @Test
  void sharesAreThoseOfTheChosenVersions() {
    for (Adapter adapter :
        List.of(
            adapter(null, null),
            adapter(Map.of("v2", 3, "v3", 1, "v1", 0), null),
            adapter(null, new Shift("v2", 25.0)),
            adapter(Map.of("v1", 90, "v2", 10), new Shift("v2", 5.0)),
            adapter(Map.of("v1", 1), new Shift("v3", 100.0)),
            adapter(Map.of("v1", 1), new Shift("v3", 0.0)))) {
      Map<String, Double> shares = VersionShares.of(adapter);
      assertThat(shares.values().stream().mapToDouble(share -> share).sum()).isWithin(1e-9).of(100);
      for (String version : adapter.versions()) {
        long chosen =
            java.util.stream.IntStream.range(0, REQUESTS)
                .filter(
                    i ->
                        VersionChoice.choose(adapter, "r" + i)
                            .equals(java.util.Optional.of(version)))
                .count();
        assertThat(shares.getOrDefault(version, 0.0))
            .isWithin(TOLERANCE_PERCENT)
            .of(100.0 * chosen / REQUESTS);
      }
    }
  }
}
