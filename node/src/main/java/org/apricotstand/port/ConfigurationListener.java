package org.apricotstand.port;

import org.apricotstand.model.StoreVersion;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.route.RoutingPlan;

/** Receives the declarations of the operators; called on the control thread. */
public interface ConfigurationListener {

  /**
   * Called when a configuration was read. Within a process its version may repeat but never
   * decreases.
   */
  void onPlan(RoutingPlan plan);

  /**
   * Called after a version of the configuration's row was applied or was found to be invalid.
   *
   * @param rowVersion version of the row in the store
   */
  default void onConfigurationRow(StoreVersion rowVersion) {}

  /**
   * Called after a read of the store has returned and everything that it returned was passed on.
   *
   * @param sentMs monotonic time before the read was sent
   */
  default void onConfigurationRead(long sentMs) {}

  /** Called after another instance has read the store and passed on everything that it read. */
  default void onConfigurationShared() {}

  /**
   * Returns whether the configuration has to be read now, without waiting for a change, because it
   * is not known whether it is still the newest.
   */
  default boolean mustReadConfiguration() {
    return false;
  }

  /** Called when a version of a model or an adapter was declared. */
  void onVersionDeclared(AdapterKey key, long version);
}
