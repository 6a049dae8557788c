package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpMemory;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.observe.Tracing;
import org.apricotstand.operator.LiveInstanceView;
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
  private final HttpClient http;
  private final Runnable onDrainRequest;
  private final InstanceId self;
  private final HttpMemory memory;
  private final Metrics metrics;
  private final long incarnation = System.currentTimeMillis();
  private final Tracing tracing;
  private final ControlThread control = new ControlThread();

  /** Peer addresses of the known instances; {@link OwnershipService} adds those that it reads. */
  private final Map<InstanceId, InetSocketAddress> instanceAddresses = new ConcurrentHashMap<>();

  private final PlatformClient platform;
  private final ConfigurationService configuration;
  private final PeerNetwork peers;
  private final OwnershipService ownership;

  /**
   * Creates the services that others depend on.
   *
   * @param group event loops of all connections
   * @param http client for engines, plain services and the platform
   * @param memory memory of callers' requests and of answers
   * @param onDrainRequest runs once when an operator requests a drain
   */
  InstanceAssembly(
      InstanceSettings settings,
      EventLoopGroup group,
      HttpClient http,
      HttpMemory memory,
      Metrics metrics,
      Runnable onDrainRequest) {
    this.memory = memory;
    this.metrics = metrics;
    this.onDrainRequest = onDrainRequest;
    this.settings = settings;
    this.group = group;
    this.http = http;
    this.self = new InstanceId(settings.instance());
    this.tracing = new Tracing(settings.traceSampledFraction());
    this.platform = new PlatformClient(http, settings.platformUrl());
    this.peers = createPeerNetwork();
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
            configuration::activeRevision,
            instanceAddresses);
  }

  /** Returns a kernel with all services, registered in the order in which they must start. */
  Kernel assemble() {
    SharedComponents shared =
        new SharedComponents(
            settings,
            self,
            incarnation,
            control,
            http,
            platform,
            configuration,
            instanceAddresses,
            peers,
            ownership,
            metrics,
            tracing);
    PlacementPolicy policy = PlacementPolicy.parse(settings.policy());
    SplittableRandom random = new SplittableRandom(incarnation ^ self.hashCode());
    OwnerComponents ownerComponents = OwnerComponents.create(shared, policy, random.split());
    ServiceComponents serviceComponents = ServiceComponents.create(shared, random.split());
    Placement placement = new Placement(policy, random.split());
    ModelComponents modelComponents =
        ModelComponents.create(
            shared, ownerComponents, serviceComponents.admission(), placement, random.split());
    Kernel kernel = new Kernel();
    kernel.register("metrics", shared.metrics());
    kernel.register("tracing", tracing);
    kernel.register("control", control);
    kernel.register("platform", platform);
    kernel.register("peers", peers);
    kernel.register("configuration", configuration);
    kernel.register("ownership", ownership);
    ownerComponents.register(kernel);
    modelComponents.register(kernel);
    serviceComponents.register(kernel);
    kernel.register(
        "callers",
        new CallerInterface(
            group,
            InstanceSettings.parseAddress(settings.callerAddress()),
            callerLimits(),
            memory,
            configuration::isReady,
            modelComponents.requestHandler(),
            serviceComponents.requestHandler()));
    kernel.register("operators", createOperatorInterface(ownerComponents.owner()));
    return kernel;
  }

  private List<InstanceId> otherInstances() {
    return instanceAddresses.keySet().stream().filter(peer -> !peer.equals(self)).sorted().toList();
  }

  private OperatorInterface createOperatorInterface(OwnerService owner) {
    LiveInstanceView view =
        new LiveInstanceView(
            hello(),
            control,
            configuration,
            ownership,
            owner,
            peers::connectedPeers,
            onDrainRequest);
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

  private PeerNetwork createPeerNetwork() {
    settings
        .peers()
        .forEach(
            peer ->
                instanceAddresses.put(
                    new InstanceId(peer.instance()),
                    InstanceSettings.parseAddress(peer.address())));
    return new PeerNetwork(
        group,
        InstanceSettings.parseAddress(settings.peerAddress()),
        hello(),
        instanceAddresses::get,
        control);
  }
}
