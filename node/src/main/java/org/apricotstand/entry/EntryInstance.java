package org.apricotstand.entry;

import static java.util.stream.Collectors.toMap;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apricotstand.configuration.ConfigurationService;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineClient;
import org.apricotstand.http.HttpCaller;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.model.InstanceId;
import org.apricotstand.observe.Metrics;
import org.apricotstand.operator.LiveInstance;
import org.apricotstand.operator.OperatorInterface;
import org.apricotstand.owner.OwnerService;
import org.apricotstand.owner.PeerRequests;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.platform.PlatformClient;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.settings.InstanceSettings.Peer;

/**
 * One running instance.
 *
 * <pre>{@code
 * try (EntryInstance instance = EntryInstance.start(settings)) {
 *   InetSocketAddress address = instance.callerAddress();
 * }
 * }</pre>
 */
public final class EntryInstance implements AutoCloseable {

  private static final int TRAFFIC_THREADS = 2;

  private final Kernel kernel;
  private final EventLoopGroup group;
  private final HttpCaller http;

  private EntryInstance(Kernel kernel, EventLoopGroup group, HttpCaller http) {
    this.kernel = kernel;
    this.group = group;
    this.http = http;
  }

  /** Starts an instance and returns when it listens on its addresses. */
  public static EntryInstance start(InstanceSettings settings) {
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    HttpCaller http = new HttpCaller(group);
    Kernel kernel = assemble(settings, group, http);
    kernel.start();
    return new EntryInstance(kernel, group, http);
  }

  private static Kernel assemble(InstanceSettings settings, EventLoopGroup group, HttpCaller http) {
    InstanceId self = new InstanceId(settings.instance());
    long incarnation = System.currentTimeMillis();
    ControlThread control = new ControlThread();
    PlatformClient platform = new PlatformClient(http, settings.platformUrl());
    List<Peer> instances =
        Stream.concat(
                Stream.of(new Peer(settings.instance(), settings.domain(), settings.peerAddress())),
                settings.peers().stream())
            .toList();
    Map<InstanceId, InetSocketAddress> addresses = addressesOf(instances);
    PeerMessage.Hello hello =
        new PeerMessage.Hello(
            PeerMessage.PROTOCOL_VERSION, settings.instance(), incarnation, settings.domain());
    PeerNetwork peers =
        new PeerNetwork(
            group,
            InstanceSettings.parseAddress(settings.peerAddress()),
            hello,
            addresses::get,
            control);
    Metrics metrics = new Metrics();
    List<InstanceId> others =
        settings.peers().stream().map(peer -> new InstanceId(peer.instance())).toList();
    ConfigurationService configuration =
        new ConfigurationService(control, platform, platform, peers, () -> others, metrics);
    RankedOwnership ownership = new RankedOwnership(self, configuration, instances);
    EngineClient engines = new EngineClient(http);
    OwnerService owner =
        new OwnerService(
            control, engines, ownership, target -> configuration.current().target(target));
    RemoteAnswers remote = new RemoteAnswers(peers);
    peers.listen(remote);
    ModelRoute models =
        new ModelRoute(self, incarnation, control, configuration, ownership, owner, remote);
    ServiceRoute services = new ServiceRoute(configuration, http);
    InetSocketAddress callers = InstanceSettings.parseAddress(settings.callerAddress());
    Kernel kernel = new Kernel();
    kernel.register("metrics", metrics);
    kernel.register("control", control);
    kernel.register("platform", platform);
    kernel.register("peers", peers);
    kernel.register("configuration", configuration);
    kernel.register("ownership", ownership);
    kernel.register("engines", engines);
    kernel.register("owner", owner);
    kernel.register("remote-answers", remote);
    kernel.register("peer-requests", new PeerRequests(control, peers, owner));
    kernel.register("models", models);
    kernel.register("services", services);
    kernel.register(
        "callers",
        new CallerInterface(
            group, callers, limitsOf(settings), configuration::isReady, models, services));
    LiveInstance view =
        new LiveInstance(
            hello, control, configuration, ownership, owner, peers::connected, () -> {});
    kernel.register("operators", operatorInterface(group, settings, view, metrics));
    return kernel;
  }

  private static Map<InstanceId, InetSocketAddress> addressesOf(List<Peer> instances) {
    return instances.stream()
        .collect(
            toMap(
                peer -> new InstanceId(peer.instance()),
                peer -> InstanceSettings.parseAddress(peer.address())));
  }

  private static OperatorInterface operatorInterface(
      EventLoopGroup group, InstanceSettings settings, LiveInstance view, Metrics metrics) {
    return new OperatorInterface(
        group,
        InstanceSettings.parseAddress(settings.operatorAddress()),
        settings.operatorToken(),
        view,
        metrics);
  }

  private static HttpLimits limitsOf(InstanceSettings settings) {
    InstanceSettings.CallerLimits limits = settings.callerLimits();
    return new HttpLimits(
        limits.maxHeaderBytes(),
        limits.maxBodyBytes(),
        limits.maxConnections(),
        limits.idleTimeMs(),
        limits.requestTimeMs());
  }

  /** Returns the address for callers. */
  public InetSocketAddress callerAddress() {
    return kernel.find("callers", CallerInterface.class).address();
  }

  /** Returns the address for operators. */
  public InetSocketAddress operatorAddress() {
    return kernel.find("operators", OperatorInterface.class).address();
  }

  /** Returns the service that keeps the declarations. */
  public ConfigurationService configuration() {
    return kernel.find("configuration", ConfigurationService.class);
  }

  @Override
  public void close() {
    kernel.close();
    http.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
