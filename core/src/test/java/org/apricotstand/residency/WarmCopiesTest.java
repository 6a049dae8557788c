package org.apricotstand.residency;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class WarmCopiesTest {

  // Guards against a memory that grows with every adapter an engine ever held.
  @Test
  void forgetsTheOldestBeyondItsCapacity() {
    WarmCopies copies = new WarmCopies(2);
    AdapterKey first = new AdapterKey("m", "a1");
    AdapterKey second = new AdapterKey("m", "a2");
    AdapterKey third = new AdapterKey("m", "a3");
    copies.held(Set.of(first));
    copies.held(Set.of(second));
    copies.held(Set.of(first));
    copies.held(Set.of(third));
    assertThat(copies.adapters()).containsExactly(first, third);
  }
}
