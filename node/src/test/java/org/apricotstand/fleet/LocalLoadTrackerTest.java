package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;
import org.junit.jupiter.api.Test;

class LocalLoadTrackerTest {

  private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

  private final LocalLoadTracker tracker = new LocalLoadTracker();

  // Guards against targets that look busy forever after their requests ended.
  @Test
  void anEndedRequestIsNotCounted() {
    tracker.recordSent("t", ADAPTER);
    assertThat(tracker.load("t")).isEqualTo(new TargetLoad(0, 1));
    tracker.recordFirstByte("t");
    assertThat(tracker.load("t")).isEqualTo(new TargetLoad(1, 0));
    tracker.recordEnd("t", ADAPTER, true);
    assertThat(tracker.load("t")).isEqualTo(TargetLoad.NONE);
    assertThat(tracker.loadsByTarget()).isEmpty();
  }

  // Guards against the eviction of an adapter that one of two requests still uses.
  @Test
  void anAdapterIsInUseUntilItsLastRequestEnds() {
    tracker.recordSent("t", ADAPTER);
    tracker.recordSent("t", ADAPTER);
    tracker.recordEnd("t", ADAPTER, false);
    assertThat(tracker.adaptersInUse().get("t")).containsExactly("m/a1");
    tracker.recordEnd("t", ADAPTER, false);
    assertThat(tracker.adaptersInUse()).isEmpty();
  }

  // Guards against requests that are counted again in each report and raise the popularity.
  @Test
  void takeArrivalsResetsTheCounts() {
    tracker.recordArrival(ADAPTER);
    tracker.recordArrival(ADAPTER);
    assertThat(tracker.takeArrivals()).containsExactly(ADAPTER, 2);
    assertThat(tracker.takeArrivals()).isEmpty();
  }
}
