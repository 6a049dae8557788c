package org.apricotstand.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.apricotstand.budget.LoadBudget;
import org.apricotstand.budget.Sharers;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.owner.LoadTokens;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.PeerRequests;
import org.apricotstand.ownership.OwnershipService;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.placement.Placement;
import org.apricotstand.placement.Policy;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.schedule.TargetScheduler;
import org.apricotstand.settings.InstanceSettings;

/** Creates the services of an instance and connects them with each other. */
final class InstanceAssembly {

  private final InstanceSettings settings;
  private final EventLoopGroup group;
  private final HttpCaller http;
  private final InstanceId self;
  private final long incarnation = System.currentTimeMillis();
  private final SplittableRandom random;
  private final Policy policy;
  private final Metrics metrics = new Metrics();
  private final ControlThread control = new ControlThread();
  private final Map<InstanceId, InetSocketAddress> peerAddresses = new ConcurrentHashMap<>();
  private final PlatformClient platform;
  private final ConfigurationService configuration;
  private final PeerNetwork peers;
  private final OwnershipService ownership;
  private final LoadBudget budget = new LoadBudget(ControlThread.nowMs());

  InstanceAssembly(InstanceSettings settings, EventLoopGroup group, HttpCaller http) {
    this.settings = settings;
    this.group = group;
    this.http = http;
    this.self = new InstanceId(settings.instance());
    this.random = new SplittableRandom(incarnation ^ self.hashCode());
    this.policy = Policy.parse(settings.policy());
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
    EngineClient engines = new EngineClient(http);
    OwnerService owner = createOwner(engines);
    ownership.drive(owner);
    LoadTokens tokens = createLoadTokens();
    peers.listen(tokens);
    EngineChoice choice =
        new EngineChoice(control, new Placement(policy, random.split()), ownership::isLeaving);
    peers.listen(choice);
    RemoteAnswers remote = new RemoteAnswers(peers);
    peers.listen(remote);
    ModelRoute models =
        new ModelRoute(self, incarnation, control, configuration, ownership, owner, remote, choice);
    ServiceParts parts =
        ServiceParts.create(
            settings, incarnation, control, configuration, platform, peers, http, metrics);
    InetSocketAddress callers = InstanceSettings.parseAddress(settings.callerAddress());
    Kernel kernel = new Kernel();
    kernel.register("metrics", metrics);
    kernel.register("control", control);
    kernel.register("platform", platform);
    kernel.register("configuration", configuration);
    kernel.register("peers", peers);
    kernel.register("ownership", ownership);
    kernel.register("engines", engines);
    kernel.register("owner", owner);
    kernel.register("load-tokens", tokens);
    kernel.register("remote-answers", remote);
    kernel.register("peer-requests", new PeerRequests(control, peers, owner));
    kernel.register("models", models);
    parts.register(kernel);
    kernel.register("callers", new CallerInterface(group, callers, models, parts.services()));
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

  private OwnerService createOwner(EngineClient engines) {
    return new OwnerService(
        control,
        engines,
        ownership,
        target -> configuration.current().target(target),
        () -> configuration.current().declarations(),
        target -> new TargetScheduler(target, policy, budget, random.split()));
  }

  private LoadTokens createLoadTokens() {
    // The settings of all instances name the same set; lists that lag could differ.
    List<InstanceId> sharing =
        Stream.concat(
                Stream.of(self),
                settings.peers().stream().map(peer -> new InstanceId(peer.instance())))
            .sorted()
            .toList();
    Sharers sharers = new Sharers(sharing.size(), sharing.indexOf(self));
    return new LoadTokens(
        control,
        peers,
        budget,
        sharing.stream().filter(other -> !other.equals(self)).toList(),
        () -> sharers,
        () -> configuration.current().declarations());
  }
}
