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

  /** Guards against a caller whose retries crash one target after the other. */
  @Test
  void runsAloneAfterOneCrashAndIsRefusedAfterTwo() {
    registry.handle(new SuspectEvent.TargetCrashed("f", FIRST, 1), 0);
    registry.handle(new SuspectEvent.TargetCrashed("f", FIRST, 1), 5);
    assertThat(registry.decide("f", 10)).isEqualTo(new RunDecision.Alone(Set.of(FIRST)));
    registry.handle(new SuspectEvent.TargetCrashed("f", SECOND, 1), 1_000);
    assertThat(registry.decide("f", 1_000))
        .isEqualTo(new RunDecision.Refused(SuspectRegistry.REFUSED, SuspectRegistry.REFUSAL_MS));
    assertThat(registry.decide("f", 1_000 + SuspectRegistry.REFUSAL_MS))
        .isEqualTo(new RunDecision.Unrestricted());
  }

  /** Guards against harmless requests that stay suspects after they have run to their end. */
  @Test
  void requestThatFinishesIsNoLongerSuspected() {
    registry.handle(new SuspectEvent.TargetCrashed("f", FIRST, 1), 0);
    registry.handle(new SuspectEvent.RequestFinished("f"), 10);
    assertThat(registry.decide("f", 10)).isEqualTo(new RunDecision.Unrestricted());
    registry.handle(new SuspectEvent.ConnectionLost("g", FIRST, 1), 0);
    registry.handle(new SuspectEvent.TargetSurvived("g", FIRST, 1), 1);
    assertThat(registry.decide("g", 2)).isEqualTo(new RunDecision.Unrestricted());
  }

  /** Guards against a second run on another target while it is unknown if the first one crashed. */
  @Test
  void refusesWhileACrashIsUnconfirmed() {
    registry.handle(new SuspectEvent.ConnectionLost("f", FIRST, 1), 0);
    assertThat(registry.decide("f", 1))
        .isEqualTo(new RunDecision.Refused(SuspectRegistry.UNSETTLED, 1_000));
    registry.handle(new SuspectEvent.TargetCrashed("f", FIRST, 1), 2);
    registry.handle(new SuspectEvent.TrialStarted("f", 500), 3);
    assertThat(registry.decide("f", 499))
        .isEqualTo(new RunDecision.Refused(SuspectRegistry.ON_TRIAL, 1_000));
    registry.handle(new SuspectEvent.TrialEnded("f"), 499);
    assertThat(registry.decide("f", 499)).isEqualTo(new RunDecision.Alone(Set.of(FIRST)));
  }

  /** Guards against memory use that grows with the number of requests that were ever suspects. */
  @Test
  void keepsABoundedNumberOfFingerprints() {
    for (int i = 0; i < 2 * SuspectRegistry.MAX_FINGERPRINTS; i++) {
      registry.handle(new SuspectEvent.TargetCrashed("f" + i, FIRST, 1), i);
    }
    assertThat(registry.size()).isEqualTo(SuspectRegistry.MAX_FINGERPRINTS);
  }

  /**
   * Guards against a request that crashes a third target. Attempts are sent at random times through
   * instances that learn of crashes late. Each owner decides by its own registry, and a suspect is
   * sent to one fixed target only.
   */
  @Property(seed = "88172645", tries = 500)
  void oneRequestCrashesAtMostTwoTargets(@ForAll long seed) {
    Random random = new Random(seed);
    int targets = 4;
    List<SuspectRegistry> registries = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      registries.add(new SuspectRegistry());
    }
    Set<TargetId> crashedTargets = new HashSet<>();
    List<Runnable> pending = new ArrayList<>();
    TargetId defaultTarget = target(0);
    for (int step = 0; step < 60; step++) {
      long nowMs = step;
      if (!pending.isEmpty() && random.nextBoolean()) {
        pending.remove(random.nextInt(pending.size())).run();
        continue;
      }
      // Instance i owns target i. Entry instances also decide by their own registry only.
      RunDecision atEntry = registries.get(random.nextInt(targets)).decide("f", nowMs);
      TargetId chosen =
          switch (atEntry) {
            case RunDecision.Unrestricted unrestricted -> defaultTarget;
            case RunDecision.Alone(Set<TargetId> crashed) -> firstOutside(crashed, targets);
            case RunDecision.Refused refused -> null;
          };
      if (chosen == null) {
        continue;
      }
      int owner = Integer.parseInt(chosen.value());
      RunDecision atOwner = registries.get(owner).decide("f", nowMs);
      boolean alone = atEntry instanceof RunDecision.Alone;
      if (atOwner instanceof RunDecision.Refused
          || (atOwner instanceof RunDecision.Alone && !alone)) {
        continue;
      }
      crashedTargets.add(chosen);
      registries.get(owner).handle(new SuspectEvent.ConnectionLost("f", chosen, step), nowMs);
      SuspectEvent crashed = new SuspectEvent.TargetCrashed("f", chosen, step);
      registries.forEach(each -> pending.add(() -> each.handle(crashed, nowMs)));
    }
    assertThat(crashedTargets.size()).isAtMost(2);
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
