package org.apricotstand.tenant;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class TenantKeysTest {

  private static final String KEY = "secret-0";

  private static Tenant tenant(String name) {
    return new Tenant(name, OptionalInt.empty(), Quota.UNLIMITED);
  }

  // Guards against a key that is taken for that of another tenant.
  @Test
  void findsTheTenantOfEachKey() {
    TenantKeys tenants =
        TenantKeys.builder()
            .add(tenant("a"), List.of(KEY, "secret-1"))
            .add(tenant("b"), List.of("secret-2"))
            .build();
    assertThat(tenants.find(KEY)).hasValue(tenant("a"));
    assertThat(tenants.find("secret-1")).hasValue(tenant("a"));
    assertThat(tenants.find("secret-2")).hasValue(tenant("b"));
    assertThat(tenants.find("Secret-0")).isEmpty();
    assertThat(tenants.find("")).isEmpty();
    assertThat(tenants.tenants()).containsExactly(tenant("a"), tenant("b")).inOrder();
  }

  // Guards against keys in a log line: a log line of a plan or of its tenants shows no key.
  @Test
  void noTextContainsAKey() {
    TenantKeys tenants = TenantKeys.builder().add(tenant("a"), List.of(KEY)).build();
    assertThat(tenants.toString()).doesNotContain(KEY);
    assertThat(tenants.toString()).contains("a");
    assertThat(tenants.tenants().toString()).doesNotContain(KEY);
  }

  // Guards against a key that counts for whichever tenant comes last, and against an error that
  // shows the key.
  @Test
  void aKeyOfTwoTenantsIsRejectedWithTheirNames() {
    TenantKeys.Builder tenants = TenantKeys.builder().add(tenant("a"), List.of(KEY));
    IllegalArgumentException failure =
        assertThrows(
            IllegalArgumentException.class, () -> tenants.add(tenant("b"), List.of("x", KEY)));
    assertThat(failure).hasMessageThat().contains("apiKeys");
    assertThat(failure).hasMessageThat().contains("\"a\"");
    assertThat(failure).hasMessageThat().contains("\"b\"");
    assertThat(failure).hasMessageThat().doesNotContain(KEY);
  }

  // Guards against two tenants that share a name and therefore a quota by accident.
  @Test
  void twoTenantsOfTheSameNameAreRejected() {
    TenantKeys.Builder tenants = TenantKeys.builder().add(tenant("a"), List.of(KEY));
    IllegalArgumentException failure =
        assertThrows(IllegalArgumentException.class, () -> tenants.add(tenant("a"), List.of("x")));
    assertThat(failure).hasMessageThat().contains("\"a\"");
  }

  // Guards against an empty key, which a request without a key would match.
  @Test
  void anEmptyKeyIsRejected() {
    assertThrows(
        IllegalArgumentException.class, () -> TenantKeys.builder().add(tenant("a"), List.of("")));
  }
}
