package org.apricotstand.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TargetRosterTest {

  private final TargetRoster roster = new TargetRoster();

  private static TargetEntry target(String id, boolean leaving) {
    return new TargetEntry(id, "s", "10.0.0.1", 80, "d", 8, leaving, 1, Map.of());
  }

  // Guards against an outage of the list that empties the fleet although all targets live.
  @Test
  void keepsEntriesThatLapsedWhileTheStoreWasAway() {
    TargetEntry target = target("t", false);
    roster.listed(List.of(target), 0);
    roster.regained(10_000);
    roster.listed(List.of(), 10_000);
    assertThat(roster.current(10_100)).containsExactly(target);
    assertThat(roster.current(10_000 + TargetRoster.LAPSE_GRACE_MS)).isEmpty();
  }

  // Guards against new requests to a target that is gone, in normal operation.
  @Test
  void dropsAMissingEntryAtOnceWhileTheStoreAnswers() {
    roster.listed(List.of(target("t", false)), 0);
    roster.listed(List.of(), 1_000);
    assertThat(roster.current(1_000)).isEmpty();
  }

  // Guards against a target that was leaving before the outage and is kept after it.
  @Test
  void doesNotKeepLeavingTargets() {
    roster.listed(List.of(target("t", true)), 0);
    roster.regained(5_000);
    roster.listed(List.of(), 5_000);
    assertThat(roster.current(5_001)).isEmpty();
  }
}
