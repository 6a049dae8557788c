package org.apricotstand.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * Guards against two instances that send load or unload commands to one engine at the same time,
 * against evictions of adapters in use, against broken promises and against targets that stay
 * unowned.
 */
class OwnershipPropertyTest {

  @Property(seed = "4711", tries = 200, shrinking = ShrinkingMode.OFF)
  void atMostOneOwnerAtATimeAndOneAfterTheFaults(@ForAll long seed) {
    check(seed);
  }

  /** Guards against a lease row read before the owner's present term being taken for its end. */
  @Test
  void staleLeaseRowDoesNotFreeTheTarget() {
    check(320068);
  }

  /** Guards against a target that no instance takes when its owner restarts and is no candidate. */
  @Test
  void targetOfRestartedOwnerIsTaken() {
    check(-50123);
  }

  /** Guards against using a promise of a restarted peer that took the target before its restart. */
  @Test
  void promiseAfterAGapIsNotUsed() {
    check(-272);
  }

  /** Guards against an owner without a platform connection using adapters its successor loaded. */
  @Test
  void disconnectedOwnerUsesNoAdapterThatItDidNotHold() {
    check(25786);
  }

  private static void check(long seed) {
    OwnershipSimulation simulation = new OwnershipSimulation(seed, 4, 3);
    simulation.run();
    assertWithMessage("seed %s: %s", seed, String.join("\n", simulation.trace))
        .that(simulation.violations)
        .isEmpty();
    assertThat(simulation.commandCount).isGreaterThan(0);
  }
}
