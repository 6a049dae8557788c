package org.apricotstand.serve;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apricotstand.control.ControlThread;
import org.apricotstand.fleet.FleetService;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.InstanceDirectory;
import org.apricotstand.fleet.LoadBoard;
import org.apricotstand.front.CallerServer;
import org.apricotstand.kernel.Kernel;
import org.apricotstand.observe.EventLog;
import org.apricotstand.observe.Metrics;
import org.apricotstand.peer.PeerMessage;
import org.apricotstand.peer.PeerNetwork;
import org.apricotstand.port.FrontSettings;
import org.apricotstand.request.RequestRouter;
import org.apricotstand.route.CallerLimits;

/**
 * One instance: accepts callers, routes their requests to targets and commands the engines that it
 * owns.
 *
 * <pre>{@code
 * ServingInstance instance = ServingInstance.create(group, control, settings, ports);
 * instance.start();
 * instance.drain(); // at the request to stop; returns when no request is in progress
 * }</pre>
 */
public final class ServingInstance implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ServingInstance.class);
  private static final CallerLimits LIMITS_BEFORE_PLAN =
      new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
  // Readiness is asked once a second, and two misses take an instance out of rotation.
  private static final long ROTATION_MS = 3_000;
  private static final long LAST_LONG_REQUEST_MS = 2_700;
  private static final long EXIT_MARGIN_MS = 400;
  private static final long RELEASE_MS = 300;
  private static final long POLL_MS = 50;

  private final Kernel kernel = new Kernel();
  private final FrontSettings settings;
  private final FleetService fleet;
  private final RequestRouter router;
  private final CallerServer callers;
  private volatile boolean draining;

  private ServingInstance(
      EventLoopGroup group, ControlThread control, FrontSettings settings, Ports ports) {
    this.settings = settings;
    EventLoop loop = group.next();
    Metrics metrics = new Metrics();
    LoadBoard board = new LoadBoard();
    long incarnation = System.currentTimeMillis();
    PeerMessage.Hello hello =
        new PeerMessage.Hello(
            PeerMessage.PROTOCOL_VERSION, settings.name(), incarnation, settings.domain());
    InstanceDirectory directory = new InstanceDirectory(settings, ports.store(), control);
    PeerNetwork peers =
        new PeerNetwork(group, settings.peerAddress(), hello, directory::addressOf, control);
    fleet =
        new FleetService(
            control,
            settings,
            ports.configuration(),
            ports.targets(),
            ports.store(),
            ports.engines(),
            peers,
            directory,
            board,
            metrics);
    Random random = new Random(incarnation ^ settings.name().hashCode());
    router =
        new RequestRouter(
            loop, settings, ports.headers(), fleet::view, board, fleet, metrics, random);
    fleet.onCrash(
        (fingerprint, target) -> loop.execute(() -> router.recordCrash(fingerprint, target)));
    fleet.onView(() -> loop.execute(router::onViewChanged));
    callers =
        new CallerServer(loop, settings.callerAddress(), limitsOf(fleet::view), router, metrics);
    kernel.register("control", control);
    kernel.register("metrics", metrics);
    kernel.register("peers", peers);
    kernel.register("fleet", fleet);
    kernel.register("callers", callers);
    kernel.register(
        "status",
        new StatusServer(
            group, settings.readyAddress(), settings.metricsAddress(), this::isReady, metrics));
  }

  /** Creates an instance that is not started; all its traffic runs on one loop of the group. */
  public static ServingInstance create(
      EventLoopGroup group, ControlThread control, FrontSettings settings, Ports ports) {
    return new ServingInstance(group, control, settings, ports);
  }

  private static Supplier<CallerLimits> limitsOf(Supplier<FleetView> view) {
    return () -> {
      FleetView now = view.get();
      return now.plan() == null ? LIMITS_BEFORE_PLAN : now.plan().limits();
    };
  }

  /** Starts all services. */
  public void start() {
    kernel.start();
    LOG.info("instance_started", "instance", settings.name(), "domain", settings.domain());
  }

  /** Returns whether callers may be sent here. */
  public boolean isReady() {
    FleetView now = fleet.view();
    return !draining && now.plan() != null && !now.targets().isEmpty();
  }

  /** Takes itself out of rotation, answers what is in progress and what still arrives. */
  public void drain() {
    long startMs = ControlThread.nowMs();
    LOG.info("instance_draining", "active", callers.active());
    draining = true;
    fleet.leave();
    callers.drain();
    long endMs = startMs + settings.graceMs() - EXIT_MARGIN_MS - RELEASE_MS;
    router.drain(startMs + LAST_LONG_REQUEST_MS, endMs);
    while (ControlThread.nowMs() < endMs && !isDrained(startMs)) {
      sleep();
    }
    fleet.release();
    long releasedMs = ControlThread.nowMs() + RELEASE_MS;
    while (ControlThread.nowMs() < releasedMs && !fleet.isReleased()) {
      sleep();
    }
    LOG.info(
        "instance_stopped", "active", callers.active(), "took_ms", ControlThread.nowMs() - startMs);
  }

  private boolean isDrained(long startMs) {
    return ControlThread.nowMs() - startMs > ROTATION_MS && callers.active() == 0;
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      LOG.warn("drain_interrupted", "error", e.toString());
    }
  }

  @Override
  public void close() {
    kernel.close();
  }
}
