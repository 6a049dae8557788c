package org.apricotstand.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class HeldBytesTest {

  private final HeldBytes<String> held = new HeldBytes<>(100);

  // Guards against a bound that cuts off answers although there is room.
  @Test
  void nothingIsGivenUpWithinTheBound() {
    assertThat(held.update("a", "s", 60)).isEqualTo(Optional.empty());
    assertThat(held.update("b", "s", 40)).isEqualTo(Optional.empty());
    assertThat(held.totalBytes()).isEqualTo(100);
  }

  // Guards against memory that fills with many answers of one target, each of which is small
  // enough.
  @Test
  void theLargestOfTheLargestSourceIsGivenUp() {
    held.update("one", "sound", 45);
    held.update("a", "faulty", 20);
    held.update("b", "faulty", 30);
    assertThat(held.update("c", "faulty", 10)).isEqualTo(Optional.of("b"));
  }

  // Guards against bytes that stay counted after their answer has ended, so that the bound closes.
  @Test
  void removedHoldersCountNoMore() {
    held.update("a", "s", 90);
    held.remove("a");
    held.remove("a");
    assertThat(held.totalBytes()).isEqualTo(0);
    assertThat(held.update("b", "s", 100)).isEqualTo(Optional.empty());
  }

  // Guards against counting an answer once for each of its parts.
  @Test
  void aLaterNumberReplacesTheOneBefore() {
    held.update("a", "s", 50);
    held.update("a", "s", 70);
    assertThat(held.totalBytes()).isEqualTo(70);
    held.update("a", "s", 0);
    assertThat(held.totalBytes()).isEqualTo(0);
  }
}
