package org.apricotstand.suspect;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstand.model.TargetId;
import org.junit.jupiter.api.Test;

class SuspectRegistryTest {

  private static final TargetId FIRST = new TargetId("engine-1");
  private static final TargetId SECOND = new TargetId("engine-2");

  private final SuspectRegistry registry = new SuspectRegistry();

  /** Guards against a caller whose resends take down one target after the other. */
  @Test
  void runsAloneAfterOneCrashAndIsRefusedAfterTwo() {
    registry.handle(new SuspectEvent.Crashed("f", FIRST, 1), 0);
    registry.handle(new SuspectEvent.Crashed("f", FIRST, 1), 5);
    assertThat(registry.verdict("f", 10)).isEqualTo(new Verdict.Alone(Set.of(FIRST)));
    registry.handle(new SuspectEvent.Crashed("f", SECOND, 1), 1_000);
    assertThat(registry.verdict("f", 1_000))
        .isEqualTo(new Verdict.Refused(SuspectRegistry.REFUSED, SuspectRegistry.REFUSAL_MS));
    assertThat(registry.verdict("f", 1_000 + SuspectRegistry.REFUSAL_MS))
        .isEqualTo(new Verdict.Free());
  }

  /** Guards against innocent neighbours of a crash that stay suspects after they have run. */
  @Test
  void finishingClears() {
    registry.handle(new SuspectEvent.Crashed("f", FIRST, 1), 0);
    registry.handle(new SuspectEvent.Finished("f"), 10);
    assertThat(registry.verdict("f", 10)).isEqualTo(new Verdict.Free());
    registry.handle(new SuspectEvent.ConnectionLost("g", FIRST, 1), 0);
    registry.handle(new SuspectEvent.Survived("g", FIRST, 1), 1);
    assertThat(registry.verdict("g", 2)).isEqualTo(new Verdict.Free());
  }

  /** Guards against a second run elsewhere while it is open how the first one ended. */
  @Test
  void refusesWhileItIsOpenWhetherATargetCrashed() {
    registry.handle(new SuspectEvent.ConnectionLost("f", FIRST, 1), 0);
    assertThat(registry.verdict("f", 1))
        .isEqualTo(new Verdict.Refused(SuspectRegistry.UNSETTLED, 1_000));
    registry.handle(new SuspectEvent.Crashed("f", FIRST, 1), 2);
    registry.handle(new SuspectEvent.TrialStarted("f", 500), 3);
    assertThat(registry.verdict("f", 499))
        .isEqualTo(new Verdict.Refused(SuspectRegistry.ON_TRIAL, 1_000));
    registry.handle(new SuspectEvent.TrialEnded("f"), 499);
    assertThat(registry.verdict("f", 499)).isEqualTo(new Verdict.Alone(Set.of(FIRST)));
  }

  /** Guards against memory that grows with the number of requests that were ever suspected. */
  @Test
  void keepsABoundedNumber() {
    for (int i = 0; i < 2 * SuspectRegistry.MAX_FINGERPRINTS; i++) {
      registry.handle(new SuspectEvent.Crashed("f" + i, FIRST, 1), i);
    }
    assertThat(registry.size()).isEqualTo(SuspectRegistry.MAX_FINGERPRINTS);
  }

  /**
   * Guards against a third target that falls to one request. Sendings go at random moments through
   * instances that learn of crashes late; each owner decides with what it knows itself, and a
   * suspect goes to one fixed target only.
   */
  @Property(seed = "88172645", tries = 500)
  void atMostTwoTargetsFallToOneRequest(@ForAll long seed) {
    Random random = new Random(seed);
    int targets = 4;
    List<SuspectRegistry> registries = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      registries.add(new SuspectRegistry());
    }
    Set<TargetId> fallen = new HashSet<>();
    List<Runnable> pending = new ArrayList<>();
    TargetId placed = target(0);
    for (int step = 0; step < 60; step++) {
      long nowMs = step;
      if (!pending.isEmpty() && random.nextBoolean()) {
        pending.remove(random.nextInt(pending.size())).run();
        continue;
      }
      // The owner of target i is instance i; entries do not know more than their own registry.
      Verdict atEntry = registries.get(random.nextInt(targets)).verdict("f", nowMs);
      TargetId chosen =
          switch (atEntry) {
            case Verdict.Free free -> placed;
            case Verdict.Alone(Set<TargetId> crashed) -> firstOutside(crashed, targets);
            case Verdict.Refused refused -> null;
          };
      if (chosen == null) {
        continue;
      }
      int owner = Integer.parseInt(chosen.value());
      Verdict atOwner = registries.get(owner).verdict("f", nowMs);
      boolean alone = atEntry instanceof Verdict.Alone;
      if (atOwner instanceof Verdict.Refused || (atOwner instanceof Verdict.Alone && !alone)) {
        continue;
      }
      fallen.add(chosen);
      registries.get(owner).handle(new SuspectEvent.ConnectionLost("f", chosen, step), nowMs);
      SuspectEvent crashed = new SuspectEvent.Crashed("f", chosen, step);
      registries.forEach(each -> pending.add(() -> each.handle(crashed, nowMs)));
    }
    assertThat(fallen.size()).isAtMost(2);
  }

  private static TargetId firstOutside(Set<TargetId> crashed, int targets) {
    return IntStream.range(0, targets)
        .mapToObj(SuspectRegistryTest::target)
        .filter(target -> !crashed.contains(target))
        .findFirst()
        .orElseThrow();
  }

  private static TargetId target(int i) {
    return new TargetId(Integer.toString(i));
  }
}
