package org.apricotstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.residency.AdapterKey;
import org.junit.jupiter.api.Test;

class LoadBoardTest {

  private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");

  private final LoadBoard board = new LoadBoard();

  // Guards against targets that look busy for good after their requests ended.
  @Test
  void aRequestThatEndedCountsNoLonger() {
    board.sent("t", ADAPTER);
    assertThat(board.load("t")).isEqualTo(new TargetLoad(0, 1));
    board.started("t");
    assertThat(board.load("t")).isEqualTo(new TargetLoad(1, 0));
    board.ended("t", ADAPTER, true);
    assertThat(board.load("t")).isEqualTo(TargetLoad.NONE);
    assertThat(board.loads()).isEmpty();
  }

  // Guards against the drop of an adapter that one of two requests still uses.
  @Test
  void anAdapterIsInUseUntilItsLastRequestEnds() {
    board.sent("t", ADAPTER);
    board.sent("t", ADAPTER);
    board.ended("t", ADAPTER, false);
    assertThat(board.adaptersInUse().get("t")).containsExactly("m/a1");
    board.ended("t", ADAPTER, false);
    assertThat(board.adaptersInUse()).isEmpty();
  }

  // Guards against requests that raise the popularity of their adapter with each report.
  @Test
  void arrivalsAreTakenOnce() {
    board.arrived(ADAPTER);
    board.arrived(ADAPTER);
    assertThat(board.takeArrivals()).containsExactly(ADAPTER, 2);
    assertThat(board.takeArrivals()).isEmpty();
  }
}
