package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
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
        budget.recordFirstAttempt();
      } else if (budget.tryRetry()) {
        retries++;
      }
      assertThat((double) retries).isAtMost(10 + 0.1 * attempts + 1e-6);
    }
  }

  /**
   * Guards against counts that are not reset when requests end and block a caller permanently, and
   * against unbounded numbers of requests in progress.
   */
  @Property(seed = "4712", tries = 200)
  void requestsInProgressStayBounded(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    AdmissionLimits admission = new AdmissionLimits();
    AdmissionLimits.Limits limits = new AdmissionLimits.Limits(3, 4, 2);
    List<AdmissionLimits.Request> inProgress = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      AdmissionLimits.Request request =
          new AdmissionLimits.Request(
              "caller-" + random.nextInt(4),
              RequestClass.values()[random.nextInt(2)],
              "adapter-" + random.nextInt(3));
      if (random.nextBoolean()) {
        boolean expected =
            count(inProgress, other -> other.caller().equals(request.caller())) < 3
                && count(inProgress, other -> other.requestClass() == request.requestClass()) < 4
                && count(inProgress, other -> other.adapter().equals(request.adapter())) < 2;
        assertThat(admission.admit(request, limits).isEmpty()).isEqualTo(expected);
        if (expected) {
          inProgress.add(request);
        }
      } else if (!inProgress.isEmpty()) {
        admission.release(inProgress.remove(random.nextInt(inProgress.size())));
      }
      assertThat(admission.inProgress()).isEqualTo(inProgress.size());
    }
  }

  private static long count(
      List<AdmissionLimits.Request> requests, Predicate<AdmissionLimits.Request> filter) {
    return requests.stream().filter(filter).count();
  }

  /** Guards against callers that all retry at the same moment, and against unbounded pauses. */
  @Test
  void backoffGrowsWithinItsBoundsAndDiffers() {
    Backoff backoff = new Backoff(new SplittableRandom(5), 100, 1_000);
    for (int attempt = 1; attempt < 50; attempt++) {
      long maxPauseMs = Math.min(1_000, 100L << Math.min(20, attempt - 1));
      assertThat(backoff.pauseMs(attempt)).isAtLeast(maxPauseMs / 2);
      assertThat(backoff.pauseMs(attempt)).isAtMost(maxPauseMs);
    }
    assertThat(backoff.pauseMs(10)).isNotEqualTo(backoff.pauseMs(10));
  }
}
