package org.apricotstand.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/**
 * Guards against two instances that order loads or evictions for one engine, against evictions of
 * adapters in use, against broken promises and against targets that stay without an owner.
 */
class OwnershipPropertyTest {

  @Property(seed = "4711", tries = 200, shrinking = ShrinkingMode.OFF)
  void oneOwnerAtATimeAndOneInTheEnd(@ForAll long seed) {
    check(seed);
  }

  /** Guards against a lease row read before the owner's present term counting as its end. */
  @Test
  void staleLeaseRowDoesNotFreeTheTarget() {
    check(320068);
  }

  /** Guards against a target left alone whose owner restarted and is no candidate any more. */
  @Test
  void targetOfRestartedOwnerIsTaken() {
    check(-50123);
  }

  /** Guards against a promise of a restarted giver that had taken the target before. */
  @Test
  void promiseAfterAGapIsNotUsed() {
    check(-272);
  }

  /** Guards against a frozen owner that uses adapters which the next owner loaded. */
  @Test
  void frozenOwnerUsesNoAdapterThatItDidNotHold() {
    check(25786);
  }

  private static void check(long seed) {
    OwnershipWorld world = new OwnershipWorld(seed, 4, 3);
    world.run();
    assertWithMessage("seed %s: %s", seed, String.join("\n", world.trace))
        .that(world.violations)
        .isEmpty();
    assertThat(world.commands).isGreaterThan(0);
  }
}
