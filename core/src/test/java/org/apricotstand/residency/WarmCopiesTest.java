package org.apricotstand.residency;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

class WarmCopiesTest {

  // Guards against a set that grows with every adapter that an engine ever held.
  @Test
  void removesTheLeastRecentAdapterBeyondItsCapacity() {
    WarmCopies copies = new WarmCopies(2);
    AdapterKey first = new AdapterKey("m", "a1");
    AdapterKey second = new AdapterKey("m", "a2");
    AdapterKey third = new AdapterKey("m", "a3");
    copies.recordResident(Set.of(first));
    copies.recordResident(Set.of(second));
    copies.recordResident(Set.of(first));
    copies.recordResident(Set.of(third));
    assertThat(copies.adapters()).containsExactly(first, third);
  }
}
