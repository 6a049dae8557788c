package org.apricotstand.claim;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ClaimMachineTest {

  private static final int STEPS = 250;

  /**
   * Guards against a request that is dispatched twice, a run request that is reported as not run, a
   * caller that gets no outcome or two, and an answer that reaches a different caller. Messages are
   * lost, delayed, reordered and duplicated, holders are restarted and paused, and the table is
   * down at times.
   */
  @Property(seed = "71320441", tries = 1_500)
  void runsAtMostOnceAndRepliesOnceUnderFaults(@ForAll long seed) {
    ClaimSimulation simulation = new ClaimSimulation(seed);
    Random random = new Random(seed);
    for (int i = 0; i < STEPS; i++) {
      if (random.nextInt(12) == 0) {
        simulation.send("order-" + random.nextInt(3), random.nextInt(3));
      }
      simulation.step();
    }
    simulation.settle();
    simulation.runsByIdempotencyKey.forEach(
        (idempotencyKey, runs) ->
            assertWithMessage("runs of %s", idempotencyKey).that(runs).isAtMost(1));
    simulation.dispatchesByIdempotencyKey.forEach(
        (idempotencyKey, dispatches) ->
            assertWithMessage("dispatches of %s", idempotencyKey).that(dispatches).isAtMost(1));
    simulation.attempts.forEach(attempt -> checkOutcomes(simulation, attempt));
  }

  private static void checkOutcomes(ClaimSimulation simulation, ClaimSimulation.Attempt attempt) {
    if (attempt.holderRestarted) {
      assertThat(attempt.outcomes.size()).isAtMost(1);
    } else {
      assertWithMessage("outcomes of %s", attempt.nonce).that(attempt.outcomes).hasSize(1);
    }
    for (ClaimOutcome outcome : attempt.outcomes) {
      switch (outcome) {
        case ClaimOutcome.NotRun notRun ->
            assertWithMessage("runs of the attempt %s that was reported as not run", attempt.nonce)
                .that(simulation.runsByNonce)
                .doesNotContainKey(attempt.nonce);
        case ClaimOutcome.Answered(StoredAnswer answer) -> {
          assertThat(new String(answer.body(), StandardCharsets.UTF_8))
              .isEqualTo(attempt.idempotencyKey);
          assertThat(simulation.runsByIdempotencyKey).containsEntry(attempt.idempotencyKey, 1);
        }
        case ClaimOutcome.Unknown unknown -> {}
      }
    }
  }
}
