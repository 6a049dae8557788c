package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class LoadWaitTest extends RequestRouterFixture {

  private final LoadWait wait = new LoadWait(new RecordingFleet(), ADAPTER, 10_000, 2_000);

  // Guards against a message to the owner with each change of the fleet.
  @Test
  void asksAgainOnlyAfterAWhile() {
    wait.waitFor("e1", true, 1, 0);
    wait.waitFor("e1", true, 1, 399);
    assertThat(fleetCalls).hasSize(1);
    wait.waitFor("e1", true, 1, 400);
    assertThat(fleetCalls).hasSize(2);
    assertThat(wait.engine()).isEqualTo("e1");
  }

  @Test
  void asksAnotherEngineAtOnce() {
    wait.waitFor("e1", true, 1, 0);
    wait.waitFor("e2", true, 1, 1);
    assertThat(fleetCalls).containsExactly("e1 m/a1 1", "e2 m/a1 1").inOrder();
  }

  // Guards against a request that waits until its deadline for a load that makes no progress.
  @Test
  void isOverdueAfterTwoSecondsAtOneEngine() {
    wait.waitFor("e1", true, 1, 0);
    assertThat(wait.isOverdueAt("e1", 2_000)).isFalse();
    assertThat(wait.isOverdueAt("e1", 2_001)).isTrue();
    assertThat(wait.isOverdueAt("e2", 2_001)).isFalse();
    wait.abandon();
    assertThat(wait.isOverdueAt("e1", 2_001)).isFalse();
  }

  @Test
  void asksNobodyForAnEngineWithoutAnOwner() {
    wait.waitFor("e1", false, 1, 0);
    assertThat(fleetCalls).isEmpty();
    assertThat(wait.engine()).isNull();
  }
}
