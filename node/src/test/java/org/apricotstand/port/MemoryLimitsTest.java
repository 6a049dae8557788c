package org.apricotstand.port;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class MemoryLimitsTest {

  private static final long DEPLOYED_HEAP_BYTES = 48 * 1_048_576;

  // Guards against defaults that refuse a single request within the limits that callers are told:
  // a body of 4 MB and a head of 16 KB, whose lines take up to a megabyte in memory.
  @Test
  void theDefaultsOfTheDeployedProcessAdmitTheLargestRequest() {
    MemoryLimits limits = MemoryLimits.forProcess(DEPLOYED_HEAP_BYTES, 20_000);
    assertThat(limits.maxHeldBytes()).isAtLeast(2 * (4_194_304 + 1_048_576));
    assertThat(limits.maxConnections()).isEqualTo(2_048);
  }

  // Guards against connections that take all descriptors, so that none is left for targets.
  @Test
  void halfOfTheDescriptorsStayForOtherUses() {
    assertThat(MemoryLimits.forProcess(DEPLOYED_HEAP_BYTES, 1_024).maxConnections()).isEqualTo(512);
  }

  // Guards against settings under which an instance refuses every request.
  @Test
  void limitsThatAdmitNothingAreRejected() {
    Assertions.assertThrows(IllegalArgumentException.class, () -> new MemoryLimits(1_000, 10));
    Assertions.assertThrows(IllegalArgumentException.class, () -> new MemoryLimits(1_000_000, 0));
  }
}
