package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class TurnSharesTest {

  private final TurnShares shares = new TurnShares(100, 40);

  // Guards against a source that takes the turns of all others.
  @Test
  void aSourceThatHasUsedItsShareLeavesRoomToOthers() {
    TurnShares.Source busy = shares.open("busy");
    TurnShares.Source other = shares.open("other");
    busy.record(40);
    assertThat(busy.hasRoom()).isFalse();
    assertThat(other.hasRoom()).isTrue();
  }

  // Guards against a target that gets a share for each of its connections.
  @Test
  void usersOfOneSourceShareIt() {
    shares.open("t").record(25);
    shares.open("t").record(15);
    assertThat(shares.open("t").hasRoom()).isFalse();
  }

  // Guards against a turn that grows with the number of sources.
  @Test
  void allSourcesTogetherHaveABound() {
    shares.open("a").record(40);
    shares.open("b").record(40);
    shares.open("c").record(20);
    assertThat(shares.open("d").hasRoom()).isFalse();
    assertThat(shares.hasRoom()).isFalse();
  }

  // Guards against a source that stays without room for good.
  @Test
  void aTurnGivesTheWholeShareAgain() {
    TurnShares.Source source = shares.open("t");
    source.record(1_000);
    shares.beginTurn();
    assertThat(source.hasRoom()).isTrue();
    source.record(39);
    assertThat(source.hasRoom()).isTrue();
    source.record(1);
    assertThat(source.hasRoom()).isFalse();
  }

  // Guards against the memory of sources whose connections are all closed.
  @Test
  void aSourceIsForgottenWhenItsLastUserClosesIt() {
    TurnShares.Source first = shares.open("t");
    TurnShares.Source second = shares.open("t");
    first.close();
    assertThat(shares.sourceCount()).isEqualTo(1);
    second.close();
    assertThat(shares.sourceCount()).isEqualTo(0);
  }

  @Test
  void aTurnHoldsAtLeastOneSource() {
    assertThrows(IllegalArgumentException.class, () -> new TurnShares(10, 11));
    assertThrows(IllegalArgumentException.class, () -> new TurnShares(10, 0));
  }
}
