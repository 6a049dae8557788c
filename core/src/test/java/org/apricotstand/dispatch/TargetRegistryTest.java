package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetRegistryTest {

  private final TargetRegistry registry = new TargetRegistry();

  private static TargetEntry target(String id, boolean leaving) {
    return new TargetEntry(id, "s", "10.0.0.1", 80, "d", 8, leaving, 1, Map.of());
  }

  // Guards against losing all targets after a store outage in which their entries expired although
  // the targets were running.
  @Test
  void keepsEntriesThatExpiredWhileTheStoreWasUnavailable() {
    TargetEntry target = target("t", false);
    registry.update(List.of(target), Set.of(), 0);
    registry.onStoreRecovered(10_000);
    registry.update(List.of(), Set.of("t"), 10_000);
    assertThat(registry.current(10_100)).containsExactly(target);
    assertThat(registry.current(10_000 + TargetRegistry.EXPIRY_GRACE_MS)).isEmpty();
  }

  // Guards against requests to a target that was removed from the list in normal operation.
  @Test
  void dropsAMissingEntryAtOnceWhileTheStoreAnswers() {
    registry.update(List.of(target("t", false)), Set.of(), 0);
    registry.update(List.of(), Set.of("t"), 1_000);
    assertThat(registry.current(1_000)).isEmpty();
  }

  // Guards against keeping a target after an outage that was draining before it.
  @Test
  void doesNotKeepLeavingTargets() {
    registry.update(List.of(target("t", true)), Set.of(), 0);
    registry.onStoreRecovered(5_000);
    registry.update(List.of(), Set.of("t"), 5_000);
    assertThat(registry.current(5_001)).isEmpty();
  }

  // Guards against requests to a target that left right after an outage: its entry was kept for the
  // whole grace period, as if it had expired.
  @Test
  void doesNotKeepAnEntryThatWasRemoved() {
    registry.update(List.of(target("t", false)), Set.of(), 0);
    registry.onStoreRecovered(1_500);
    registry.update(List.of(), Set.of(), 1_500);
    assertThat(registry.current(1_500)).isEmpty();
  }
}
