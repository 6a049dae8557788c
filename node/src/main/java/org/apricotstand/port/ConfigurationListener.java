package org.apricotstand.port;

import org.apricotstand.residency.AdapterKey;
import org.apricotstand.route.RoutingPlan;

/** Receives the declarations of the operators; called on the control thread. */
public interface ConfigurationListener {

  /**
   * Called when a configuration was read. Within a process its version may repeat but never
   * decreases.
   */
  void onPlan(RoutingPlan plan);

  /** Called when a version of a model or an adapter was declared. */
  void onVersionDeclared(AdapterKey key, long version);
}
