package org.apricotstand.tenant;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The tenants of one configuration and their API keys. Finds the tenant of a key in constant time.
 * No method, text or exception returns a key.
 *
 * <pre>{@code
 * TenantKeys tenants = TenantKeys.builder().add(tenant, List.of("k7b2...")).build();
 * Optional<Tenant> found = tenants.find("k7b2...");
 * }</pre>
 */
public final class TenantKeys {

  private final Map<String, Tenant> byName;
  private final Map<String, Tenant> byKey;

  private TenantKeys(Map<String, Tenant> byName, Map<String, Tenant> byKey) {
    this.byName = new LinkedHashMap<>(byName);
    this.byKey = new HashMap<>(byKey);
  }

  /** Returns a builder without tenants. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the tenant of a key, if the key belongs to one. */
  public Optional<Tenant> find(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns all tenants in the order of the configuration. */
  public Collection<Tenant> tenants() {
    return List.copyOf(byName.values());
  }

  @Override
  public String toString() {
    return "TenantKeys" + byName.keySet();
  }

  /** Collects tenants and rejects contradictions between them. */
  public static final class Builder {

    private final Map<String, Tenant> byName = new LinkedHashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();

    private Builder() {}

    /**
     * Adds a tenant with its keys.
     *
     * @throws IllegalArgumentException when a tenant has the same name, a key is empty, or another
     *     tenant has the same key; the message names the field and the tenants, never the key
     */
    public Builder add(Tenant tenant, List<String> apiKeys) {
      checkArgument(
          byName.putIfAbsent(tenant.name(), tenant) == null,
          "name: more than one tenant is named \"%s\"",
          tenant.name());
      for (String key : apiKeys) {
        checkArgument(!key.isEmpty(), "apiKeys: tenant \"%s\" has an empty key", tenant.name());
        Tenant other = byKey.putIfAbsent(key, tenant);
        checkArgument(
            other == null || other.equals(tenant),
            "apiKeys: the tenants \"%s\" and \"%s\" have the same key",
            other == null ? "" : other.name(),
            tenant.name());
      }
      return this;
    }

    /** Returns the tenants that were added. */
    public TenantKeys build() {
      return new TenantKeys(byName, byKey);
    }
  }
}
