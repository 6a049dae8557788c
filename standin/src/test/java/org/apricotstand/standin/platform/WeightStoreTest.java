package org.apricotstand.standin.platform;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a weight store that is faster or slower than its configured limits. */
final class WeightStoreTest {

  @Test
  void loadsAboveTheRateAreDelayed() {
    WeightStore store = new WeightStore(2, 1, 8, 250);
    assertThat(store.startLoad("a@v1", 1_000)).isEqualTo(1_250);
    assertThat(store.startLoad("b@v1", 1_000)).isEqualTo(1_750);
    assertThat(store.startLoad("c@v1", 1_000)).isEqualTo(2_250);
    assertThat(store.loads().get(2).startedMs() - store.loads().get(2).requestedMs())
        .isEqualTo(1_000);
  }

  @Test
  void burstStartsImmediatelyAndRefillsOverTime() {
    WeightStore store = new WeightStore(4, 2, 16, 250);
    assertThat(store.startLoad("a@v1", 1_000)).isEqualTo(1_250);
    assertThat(store.startLoad("b@v1", 1_000)).isEqualTo(1_250);
    assertThat(store.startLoad("c@v1", 1_000)).isEqualTo(1_500);
    assertThat(store.startLoad("d@v1", 10_000)).isEqualTo(10_250);
    assertThat(store.startLoad("e@v1", 10_000)).isEqualTo(10_250);
    assertThat(store.startLoad("f@v1", 10_000)).isEqualTo(10_500);
  }

  @Test
  void loadsSlowDownBeyondTheInFlightLimit() {
    WeightStore store = new WeightStore(1_000, 100, 2, 250);
    store.startLoad("a@v1", 1_000);
    store.startLoad("b@v1", 1_000);
    assertThat(store.startLoad("c@v1", 1_000)).isEqualTo(1_375);
    store.finishLoad();
    store.finishLoad();
    store.finishLoad();
    assertThat(store.startLoad("d@v1", 5_000)).isEqualTo(5_250);
  }
}
