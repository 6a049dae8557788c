package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apricotstand.model.RequestClass;
import org.junit.jupiter.api.Test;

class LimitTest {

  /** Guards against retries that multiply the traffic of a failing target. */
  @Property(seed = "4711", tries = 200)
  void retriesStayAFractionOfTraffic(@ForAll long seed, @ForAll @IntRange(max = 2_000) int steps) {
    SplittableRandom random = new SplittableRandom(seed);
    RetryBudget budget = new RetryBudget(0.1, 10);
    int attempts = 0;
    int retries = 0;
    for (int i = 0; i < steps; i++) {
      if (random.nextBoolean()) {
        attempts++;
        budget.attempted();
      } else if (budget.tryRetry()) {
        retries++;
      }
      assertThat((double) retries).isAtMost(10 + 0.1 * attempts + 1e-6);
    }
  }

  /** Guards against counts that leak and block a caller for good, and against unbounded queues. */
  @Property(seed = "4712", tries = 200)
  void requestsInProgressStayBounded(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionLimits limits =
        new AdmissionLimits(
            new AdmissionLimits.Limits(
                3, Map.of(RequestClass.INTERACTIVE, 5, RequestClass.STANDARD, 4)));
    List<Map.Entry<String, RequestClass>> open = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      String caller = "caller-" + random.nextInt(4);
      RequestClass requestClass = RequestClass.values()[random.nextInt(2)];
      long ofCaller = open.stream().filter(entry -> entry.getKey().equals(caller)).count();
      long ofClass = open.stream().filter(entry -> entry.getValue() == requestClass).count();
      if (random.nextBoolean()) {
        boolean expected = ofCaller < 3 && ofClass < (requestClass.ordinal() == 0 ? 5 : 4);
        assertThat(limits.admit(caller, requestClass).isEmpty()).isEqualTo(expected);
        if (expected) {
          open.add(Map.entry(caller, requestClass));
        }
      } else if (!open.isEmpty()) {
        Map.Entry<String, RequestClass> done = open.remove(random.nextInt(open.size()));
        limits.release(done.getKey(), done.getValue());
      }
      assertThat(limits.inProgress()).isEqualTo(open.size());
    }
  }

  /** Guards against callers that return all at the same moment, and against endless pauses. */
  @Test
  void backoffGrowsWithinItsBoundsAndDiffers() {
    Backoff backoff = new Backoff(new SplittableRandom(5), 100, 1_000);
    for (int attempt = 1; attempt < 50; attempt++) {
      long longestMs = Math.min(1_000, 100L << Math.min(20, attempt - 1));
      assertThat(backoff.pauseMs(attempt)).isAtLeast(longestMs / 2);
      assertThat(backoff.pauseMs(attempt)).isAtMost(longestMs);
    }
    assertThat(backoff.pauseMs(10)).isNotEqualTo(backoff.pauseMs(10));
  }
}
