package org.apricotstand.declaration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotstand.declaration.DeclarationSet.Adapter;
import org.apricotstand.declaration.DeclarationSet.Shift;

class VersionChoicePropertyTest {

  private static final int REQUESTS = 4_000;

  private static Adapter adapter(Map<String, Integer> route, double percent) {
    return new Adapter(
        "letters",
        "base",
        List.of("v1", "v2", "v3"),
        route,
        null,
        null,
        null,
        new Shift("v3", percent),
        null,
        null);
  }

  // Guards against a growing shift that moves some requests back to their previous version.
  @Property(seed = "4301", tries = 100)
  void greaterShiftMovesNoRequestBack(
      @ForAll long seed,
      @ForAll @IntRange(max = 100) int lower,
      @ForAll @IntRange(max = 100) int higher) {
    int low = Math.min(lower, higher);
    int high = Math.max(lower, higher);
    Map<String, Integer> route = Map.of("v1", 3, "v2", 1);
    Random random = new Random(seed);
    for (int i = 0; i < 200; i++) {
      String id = "r-" + random.nextLong();
      String before = VersionChoice.choose(adapter(route, low), id).orElseThrow();
      String after = VersionChoice.choose(adapter(route, high), id).orElseThrow();
      assertThat(after).isAnyOf(before, "v3");
    }
  }

  // Guards against shares that do not follow the weights, also among the requests that a shift does
  // not move.
  @Property(seed = "4302", tries = 30)
  void sharesFollowWeights(@ForAll long seed, @ForAll @IntRange(min = 0, max = 90) int percent) {
    Adapter adapter = adapter(Map.of("v1", 3, "v2", 1, "v3", 0), percent);
    Random random = new Random(seed);
    Map<String, Long> counts =
        IntStream.range(0, REQUESTS)
            .mapToObj(i -> VersionChoice.choose(adapter, "r-" + random.nextLong()).orElseThrow())
            .collect(
                java.util.stream.Collectors.groupingBy(
                    version -> version, java.util.stream.Collectors.counting()));
    double shifted = percent / 100.0;
    // Five standard deviations of a share of 4,000 requests.
    double tolerance = 0.04;
    assertThat(counts.getOrDefault("v3", 0L) / (double) REQUESTS).isWithin(tolerance).of(shifted);
    assertThat(counts.getOrDefault("v1", 0L) / (double) REQUESTS)
        .isWithin(tolerance)
        .of((1 - shifted) * 0.75);
  }

  // Guards against an arbitrary choice when no route is declared.
  @Property(seed = "4303", tries = 20)
  void withoutRouteTakesFirstVersion(@ForAll long seed) {
    assertThat(VersionChoice.choose(adapter(Map.of(), 0), "r-" + seed)).hasValue("v1");
    assertThat(VersionChoice.choose(adapter(Map.of("v2", 0), 0), "r-" + seed)).hasValue("v1");
  }
}
