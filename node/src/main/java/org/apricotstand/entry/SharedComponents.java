package org.apricotstand.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpClient;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;

/**
 * Settings, identity and components that all parts of an instance share.
 *
 * @param self identifier of this instance
 * @param incarnation number of this start of the process
 * @param http client for engines, plain services and the platform
 * @param instanceAddresses peer addresses of the known instances; changes while the instance runs
 */
record SharedComponents(
    InstanceSettings settings,
    InstanceId self,
    long incarnation,
    ControlThread control,
    HttpClient http,
    PlatformClient platform,
    ConfigurationService configuration,
    Map<InstanceId, InetSocketAddress> instanceAddresses,
    PeerNetwork peers,
    OwnershipService ownership,
    Metrics metrics,
    Tracing tracing) {

  /** Returns the other instances that are currently known, in all failure domains. */
  Set<InstanceId> otherInstances() {
    return instanceAddresses.keySet().stream()
        .filter(instance -> !instance.equals(self))
        .collect(Collectors.toSet());
  }
}
