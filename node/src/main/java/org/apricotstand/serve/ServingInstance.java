package org.apricotstand.serve;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Random;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.fleet.FleetService;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.InstanceDirectory;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.front.CallerServer;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.request.RequestRouter;
import org.apricotstand.route.CallerLimits;

/**
 * One instance: accepts callers, routes their requests to targets and commands the engines that it
 * owns.
 *
 * <pre>{@code
 * ServingInstance instance = ServingInstance.create(group, control, settings, systems, metrics);
 * instance.start();
 * instance.drain(); // on the stop signal; returns when no request is in progress or the time is up
 * }</pre>
 */
public final class ServingInstance implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ServingInstance.class);
  private static final CallerLimits LIMITS_BEFORE_PLAN =
      new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

  private final Kernel kernel = new Kernel();
  private final ServingSettings settings;
  private final FleetService fleet;
  private final CallerServer callers;
  private final DrainRunner drainRunner;
  private volatile boolean draining;

  private ServingInstance(
      EventLoopGroup group,
      ControlThread control,
      ServingSettings settings,
      ExternalSystems systems,
      Metrics metrics) {
    this.settings = settings;
    EventLoop loop = group.next();
    LocalLoadTracker loadTracker = new LocalLoadTracker();
    long incarnation = System.currentTimeMillis();
    PeerMessage.Hello hello =
        new PeerMessage.Hello(
            PeerMessage.PROTOCOL_VERSION, settings.name(), incarnation, settings.domain());
    InstanceDirectory directory =
        new InstanceDirectory(settings, systems.store(), control, ControlThread::nowMs);
    PeerNetwork peers =
        new PeerNetwork(group, settings.peerAddress(), hello, directory::addressOf, control);
    fleet =
        new FleetService(
            control,
            settings,
            systems.configuration(),
            systems.targets(),
            systems.store(),
            systems.engines(),
            peers,
            directory,
            loadTracker,
            metrics,
            incarnation);
    MemoryLimiter memory =
        new MemoryLimiter(settings.memoryLimits(), settings.answerLimits(), metrics);
    RequestRouter router =
        new RequestRouter(
            loop,
            settings,
            systems.headers(),
            fleet::view,
            fleet::quotaShares,
            loadTracker,
            fleet,
            metrics,
            memory,
            new Random(incarnation ^ settings.name().hashCode()));
    fleet.setEventListener(new TrafficThreadListener(loop, router));
    fleet.setViewListener(() -> loop.execute(router::onViewChanged));
    callers =
        new CallerServer(
            loop,
            settings.callerAddress(),
            limitsOf(fleet::view),
            router,
            metrics,
            memory,
            settings.memoryLimits().maxConnections());
    drainRunner = new DrainRunner(loop, new InstanceDrainSteps(fleet, router, callers));
    StatusServer status =
        new StatusServer(
            group, settings.readyAddress(), settings.metricsAddress(), this::isReady, metrics);
    registerServices(control, metrics, peers, status);
  }

  /** Registers the services in the order in which they start. */
  private void registerServices(
      ControlThread control, Metrics metrics, PeerNetwork peers, StatusServer status) {
    kernel.register("control", control);
    kernel.register("metrics", metrics);
    kernel.register("peers", peers);
    kernel.register("fleet", fleet);
    kernel.register("callers", callers);
    kernel.register("status", status);
  }

  /**
   * Creates an instance that is not started. All its traffic runs on one event loop of the group.
   *
   * @param metrics metrics of the process, which the instance serves
   */
  public static ServingInstance create(
      EventLoopGroup group,
      ControlThread control,
      ServingSettings settings,
      ExternalSystems systems,
      Metrics metrics) {
    return new ServingInstance(group, control, settings, systems, metrics);
  }

  private static Supplier<CallerLimits> limitsOf(Supplier<FleetView> view) {
    return () -> {
      FleetView currentView = view.get();
      return currentView.plan() == null ? LIMITS_BEFORE_PLAN : currentView.plan().limits();
    };
  }

  /** Starts all services. */
  public void start() {
    kernel.start();
    LOG.info("instance_started", "instance", settings.name(), "domain", settings.domain());
  }

  /** Returns whether callers may send requests to this instance. */
  public boolean isReady() {
    FleetView view = fleet.view();
    return !draining && view.plan() != null && !view.targets().isEmpty();
  }

  /**
   * Takes the instance out of rotation and answers the requests that are in progress or still
   * arrive. Returns when all are answered and no further one can be accepted, at the latest shortly
   * before the grace period ends.
   */
  public void drain() {
    long startMs = ControlThread.nowMs();
    LOG.info("instance_draining", "active", callers.activeRequests());
    draining = true;
    drainRunner.run(startMs + settings.graceMs());
    LOG.info(
        "instance_stopped",
        "active",
        callers.activeRequests(),
        "took_ms",
        ControlThread.nowMs() - startMs);
  }

  @Override
  public void close() {
    kernel.close();
  }
}
