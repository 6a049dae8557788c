package org.apricotstand.tenant;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TenantTest {

  // Guards against a priority of the route that wins over that of the tenant.
  @Test
  void theTenantsPriorityComesBeforeTheRoutes() {
    assertThat(new Tenant("a", OptionalInt.of(0), Quota.UNLIMITED).priorityOr(2)).isEqualTo(0);
    assertThat(new Tenant("a", OptionalInt.empty(), Quota.UNLIMITED).priorityOr(2)).isEqualTo(2);
  }

  // Guards against a name that adds header lines to the requests of its tenant, or fails them all.
  @ParameterizedTest
  @ValueSource(strings = {"", " a", "a ", "a\r\nX-Other: 1", "a\u0000", "\u00fc"})
  void aNameThatCannotBeAHeaderIsRejected(String name) {
    assertThrows(
        IllegalArgumentException.class,
        () -> new Tenant(name, OptionalInt.empty(), Quota.UNLIMITED));
  }

  // Guards against a quota that lets nothing or anything through because of its sign.
  @Test
  void negativeQuotasAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new Quota(QuotaUnit.TOKENS, -1, 0, 0));
    assertThrows(IllegalArgumentException.class, () -> new Quota(QuotaUnit.TOKENS, 0, -1, 0));
    assertThrows(
        IllegalArgumentException.class, () -> new Quota(QuotaUnit.TOKENS, 0, 0, Double.NaN));
    assertThat(Quota.UNLIMITED.isLimited()).isFalse();
    assertThat(new Quota(QuotaUnit.REQUESTS, 0, 5, 0).isLimited()).isTrue();
  }
}
