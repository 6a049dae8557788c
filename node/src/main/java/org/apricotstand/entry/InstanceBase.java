package org.apricotstand.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;

/**
 * What the parts of an instance share.
 *
 * @param incarnation number of this start of the process
 * @param addresses addresses of known instances; changes while the instance runs
 */
record InstanceBase(
    InstanceSettings settings,
    InstanceId self,
    long incarnation,
    ControlThread control,
    HttpCaller http,
    PlatformClient platform,
    ConfigurationService configuration,
    Map<InstanceId, InetSocketAddress> addresses,
    PeerNetwork peers,
    OwnershipService ownership,
    Metrics metrics) {

  /** Returns the other instances that are known now, of all domains. */
  Set<InstanceId> others() {
    return addresses.keySet().stream()
        .filter(instance -> !instance.equals(self))
        .collect(Collectors.toSet());
  }
}
