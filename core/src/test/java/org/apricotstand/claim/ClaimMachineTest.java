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
   * Guards against a second dispatch of an identity, a false "not run", a caller without an ending
   * or with two, and an answer that reaches another caller, under lost, late, crossed and doubled
   * messages, deaths and pauses of holders and outages of the table.
   */
  @Property(seed = "71320441", tries = 1_500)
  void keepsThePromisesUnderFaults(@ForAll long seed) {
    ClaimWorld world = new ClaimWorld(seed);
    Random random = new Random(seed);
    for (int i = 0; i < STEPS; i++) {
      if (random.nextInt(12) == 0) {
        world.send("order-" + random.nextInt(3), random.nextInt(3));
      }
      world.step();
    }
    world.settle();
    world.runsOfIdentity.forEach(
        (identity, runs) -> assertWithMessage("runs of %s", identity).that(runs).isAtMost(1));
    world.dispatchesOfIdentity.forEach(
        (identity, sent) -> assertWithMessage("dispatches of %s", identity).that(sent).isAtMost(1));
    world.sendings.forEach(sending -> checkEndings(world, sending));
  }

  private static void checkEndings(ClaimWorld world, ClaimWorld.Sending sending) {
    if (sending.holderDied) {
      assertThat(sending.endings.size()).isAtMost(1);
    } else {
      assertWithMessage("endings of %s", sending.nonce).that(sending.endings).hasSize(1);
    }
    for (ClaimEnding ending : sending.endings) {
      switch (ending) {
        case ClaimEnding.NotRun notRun ->
            assertWithMessage("runs of the sending %s that was told not run", sending.nonce)
                .that(world.runsOfNonce)
                .doesNotContainKey(sending.nonce);
        case ClaimEnding.Answered(StoredAnswer answer) -> {
          assertThat(new String(answer.body(), StandardCharsets.UTF_8)).isEqualTo(sending.identity);
          assertThat(world.runsOfIdentity).containsEntry(sending.identity, 1);
        }
        case ClaimEnding.Unknown unknown -> {}
      }
    }
  }
}
