package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.placement.Placement;
import org.apricotstand.placement.Policy;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;

/** Creates the services of an instance and connects them with each other. */
final class InstanceAssembly {

  private final InstanceSettings settings;
  private final EventLoopGroup group;
  private final HttpCaller http;
  private final InstanceId self;
  private final long incarnation = System.currentTimeMillis();
  private final ControlThread control = new ControlThread();
  private final Map<InstanceId, InetSocketAddress> peerAddresses = new ConcurrentHashMap<>();
  private final PlatformClient platform;
  private final ConfigurationService configuration;
  private final PeerNetwork peers;
  private final OwnershipService ownership;

  InstanceAssembly(InstanceSettings settings, EventLoopGroup group, HttpCaller http) {
    this.settings = settings;
    this.group = group;
    this.http = http;
    this.self = new InstanceId(settings.instance());
    this.platform = new PlatformClient(http, settings.platformUrl());
    this.configuration = new ConfigurationService(control, platform);
    this.peers = createPeers();
    this.ownership =
        new OwnershipService(
            settings,
            incarnation,
            control,
            peers,
            platform,
            platform,
            configuration::current,
            peerAddresses);
  }

  /** Returns the kernel with all services registered in the order of their start. */
  Kernel assemble() {
    InstanceBase base =
        new InstanceBase(
            settings,
            self,
            incarnation,
            control,
            http,
            platform,
            configuration,
            peerAddresses,
            peers,
            ownership,
            new Metrics());
    Policy policy = Policy.parse(settings.policy());
    SplittableRandom random = new SplittableRandom(incarnation ^ self.hashCode());
    OwnerParts owning = OwnerParts.create(base, policy, random.split());
    ServiceParts services = ServiceParts.create(base, random.split());
    Placement placement = new Placement(policy, random.split());
    ModelParts models =
        ModelParts.create(base, owning, services.admission(), placement, random.split());
    Kernel kernel = new Kernel();
    kernel.register("metrics", base.metrics());
    kernel.register("control", control);
    kernel.register("platform", platform);
    kernel.register("configuration", configuration);
    kernel.register("peers", peers);
    kernel.register("ownership", ownership);
    owning.register(kernel);
    models.register(kernel);
    services.register(kernel);
    InetSocketAddress callers = InstanceSettings.parseAddress(settings.callerAddress());
    kernel.register(
        "callers", new CallerInterface(group, callers, models.route(), services.services()));
    return kernel;
  }

  private PeerNetwork createPeers() {
    settings
        .peers()
        .forEach(
            peer ->
                peerAddresses.put(
                    new InstanceId(peer.instance()),
                    InstanceSettings.parseAddress(peer.address())));
    return new PeerNetwork(
        group,
        InstanceSettings.parseAddress(settings.peerAddress()),
        new PeerMessage.Hello(
            PeerMessage.PROTOCOL_VERSION, settings.instance(), incarnation, settings.domain()),
        peerAddresses::get,
        control);
  }
}
