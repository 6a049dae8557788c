package org.apricotstand.port;

import org.apricotstand.residency.AdapterKey;
import org.apricotstand.route.RoutingPlan;

/** Receives what the operators declare; called on the control thread. */
public interface ConfigurationListener {

  /** A configuration was read; versions may repeat but never go back within a process. */
  void onPlan(RoutingPlan plan);

  /** A version of a model or an adapter was declared. */
  void onVersion(AdapterKey key, long version);
}
