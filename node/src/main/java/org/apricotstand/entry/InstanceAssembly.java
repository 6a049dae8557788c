package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;
import org.apricotstand.operator.LiveInstance;
import org.apricotstand.operator.OperatorInterface;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.placement.Placement;
import org.apricotstand.placement.PlacementPolicy;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;

/** Creates the services of an instance and connects them with each other. */
final class InstanceAssembly {

  private final InstanceSettings settings;
  private final EventLoopGroup group;
  private final HttpCaller http;
  private final Runnable onDrainRequest;
  private final InstanceId self;
  private final Metrics metrics = new Metrics();
  private final long incarnation = System.currentTimeMillis();
  private final Tracing tracing;
  private final ControlThread control = new ControlThread();
  private final Map<InstanceId, InetSocketAddress> peerAddresses = new ConcurrentHashMap<>();
  private final PlatformClient platform;
  private final ConfigurationService configuration;
  private final PeerNetwork peers;
  private final OwnershipService ownership;

  /**
   * Prepares an instance.
   *
   * @param onDrainRequest runs once when an operator asks the instance to leave
   */
  InstanceAssembly(
      InstanceSettings settings, EventLoopGroup group, HttpCaller http, Runnable onDrainRequest) {
    this.onDrainRequest = onDrainRequest;
    this.settings = settings;
    this.group = group;
    this.http = http;
    this.self = new InstanceId(settings.instance());
    this.tracing = new Tracing(settings.traceSampledFraction());
    this.platform = new PlatformClient(http, settings.platformUrl());
    this.peers = createPeers();
    this.configuration =
        new ConfigurationService(control, platform, platform, peers, this::otherInstances, metrics);
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
            metrics,
            tracing);
    PlacementPolicy policy = PlacementPolicy.parse(settings.policy());
    SplittableRandom random = new SplittableRandom(incarnation ^ self.hashCode());
    OwnerParts owning = OwnerParts.create(base, policy, random.split());
    ServiceParts services = ServiceParts.create(base, random.split());
    Placement placement = new Placement(policy, random.split());
    ModelParts models =
        ModelParts.create(base, owning, services.admission(), placement, random.split());
    Kernel kernel = new Kernel();
    kernel.register("metrics", base.metrics());
    kernel.register("tracing", tracing);
    kernel.register("control", control);
    kernel.register("platform", platform);
    kernel.register("peers", peers);
    kernel.register("configuration", configuration);
    kernel.register("ownership", ownership);
    owning.register(kernel);
    models.register(kernel);
    services.register(kernel);
    kernel.register(
        "callers",
        new CallerInterface(
            group,
            InstanceSettings.parseAddress(settings.callerAddress()),
            callerLimits(),
            configuration::isReady,
            models.route(),
            services.services()));
    kernel.register("operators", createOperators(owning.owner()));
    return kernel;
  }

  private List<InstanceId> otherInstances() {
    return peerAddresses.keySet().stream().filter(peer -> !peer.equals(self)).sorted().toList();
  }

  private OperatorInterface createOperators(OwnerService owner) {
    LiveInstance view =
        new LiveInstance(
            hello(), control, configuration, ownership, owner, peers::connected, onDrainRequest);
    return new OperatorInterface(
        group,
        InstanceSettings.parseAddress(settings.operatorAddress()),
        settings.operatorToken(),
        view,
        metrics);
  }

  private PeerMessage.Hello hello() {
    return new PeerMessage.Hello(
        PeerMessage.PROTOCOL_VERSION, settings.instance(), incarnation, settings.domain());
  }

  private HttpLimits callerLimits() {
    InstanceSettings.CallerLimits limits = settings.callerLimits();
    return new HttpLimits(
        limits.maxHeaderBytes(),
        limits.maxBodyBytes(),
        limits.maxConnections(),
        limits.idleTimeMs(),
        limits.requestTimeMs());
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
        hello(),
        peerAddresses::get,
        control);
  }
}
