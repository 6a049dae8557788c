package org.apricotstand.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apricotstand.enginelease.LeaseStatus;
import org.apricotstand.peer.FleetState;

/** Receives what the other instances say. All methods are called on the control thread. */
interface FleetExchangeListener {

  /** Called when an instance published its leases. */
  void onLeasesPublished(String instance, Map<String, LeaseStatus> leases);

  /** Called several times a second with instances that are alive. */
  void onInstancesHeard(Set<String> instances);

  /** Called when the set of instances that are alive, or of those that are leaving, changed. */
  void onInstancesChanged();

  /** Called when an instance is not heard of any more. */
  void onInstanceSilent(String instance);

  /** Called when an owner published what an engine holds. */
  void onHoldings(FleetState.EngineHoldings holdings);

  /** Called when an instance published the crash of a target. */
  void onCrash(FleetState.TargetCrash crash);

  /** Called when an instance published an answer that clears a suspected trait. */
  void onAnswer(FleetState.TraitAnswered answer);

  /** Called when an instance published that it refuses a trait. */
  void onRefusal(FleetState.TraitRefused refusal);

  /** Called when an instance published the limit of a target. */
  void onLimit(FleetState.TargetLimit limit);

  /** Called when an instance published that a target has a limit no more. */
  void onLimitEnd(FleetState.TargetLimitEnd end);

  /** Called with the requests that all instances behind a relay received, by adapter. */
  void onArrivals(Map<String, Integer> arrivals);

  /** Called when another instance confirmed that the configuration was the newest. */
  default void onConfigurationConfirmed() {}

  /** Called when the relay has lent credit to a request of this instance, or refused it. */
  void onQuotaLent(long number, boolean isLent);

  /** Called when the loads of targets changed. */
  void onLoadsChanged();

  /** Called with the adapters in use at the engines of this instance, as one relay reports them. */
  void onAdaptersInUse(String relay, Map<String, List<String>> inUse);

  /** Called when a relay that reported adapters in use turned silent. */
  void onUseSilent(String relay);
}
