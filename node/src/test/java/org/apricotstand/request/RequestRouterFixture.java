package org.apricotstand.request;

import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.front.CallerServer;
import org.apricotstand.memory.MemoryLimiter;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.port.MemoryLimits;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.port.TestHeaders;
import org.apricotstand.quota.QuotaBounds;
import org.apricotstand.quota.QuotaShares;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;
import org.apricotstand.route.WeightedService;
import org.apricotstand.suspect.Trait;
import org.apricotstand.tenant.FreshnessBounds;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A router and a server for callers on the loopback interface, with scripted targets. */
abstract class RequestRouterFixture {

  static final HeaderNames NAMES = TestHeaders.NAMES;
  static final AdapterKey ADAPTER = new AdapterKey("m", "a1");
  static final long TEST_TIMEOUT_MS = 20_000;

  static final AnswerLimits LIMITS = new AnswerLimits(65_536, 16_384, 131_072);

  final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  final List<ScriptedTarget> targets = new ArrayList<>();
  final List<String> fleetCalls = new CopyOnWriteArrayList<>();
  final List<Trait> refusals = new CopyOnWriteArrayList<>();
  final LocalLoadTracker loadTracker = new LocalLoadTracker();
  volatile FleetView view = FleetView.EMPTY;
  volatile QuotaShares quotaShares = QuotaShares.NONE;
  volatile boolean fleetFails;

  /** Called on the loop with the number of each request for credit. */
  volatile LongConsumer loanAnswer = number -> {};

  /** Time at which the configuration of a view was confirmed; in the future, so never too old. */
  long confirmedMs = ControlThread.nowMs() + 3_600_000;

  long firstByteTimeoutMs = 2_000;

  /**
   * Large enough for the retries of a single request, since a new router has hardly an allowance.
   */
  double retryRatio = 5;

  double maxHedgeShare;

  int maxConnections = 100;

  /** Whether the views say that the loads of other instances are old. */
  boolean usesRelays;

  /** Slowness of targets in the views, by target id. */
  Map<String, Double> slowness = Map.of();

  CallerServer server;
  RequestRouter router;

  final class RecordingFleet implements FleetNotifier {
    @Override
    public void requestLoad(String engine, SlotEvent.LoadRequested loadRequest) {
      failIfTold();
      fleetCalls.add(engine + " " + loadRequest.key() + " " + loadRequest.version());
    }

    @Override
    public void reportCrash(String incarnation, Map<Trait, Integer> requestsByTrait) {
      fleetCalls.add("crashed " + incarnation);
    }

    @Override
    public void reportAnswer(Trait trait) {
      fleetCalls.add("answered " + trait.encode());
    }

    @Override
    public void reportLimit(String incarnation, double perSecond) {
      fleetCalls.add("limit " + incarnation + " " + perSecond);
    }

    @Override
    public void reportLimitEnd(String incarnation) {
      fleetCalls.add("limit ended " + incarnation);
    }

    @Override
    public void requestQuota(long number, String tenant, long amount) {
      fleetCalls.add("quota " + number + " " + tenant + " " + amount);
      loanAnswer.accept(number);
    }

    @Override
    public void reportRefusal(Trait trait, long untilMs) {
      refusals.add(trait);
    }

    private void failIfTold() {
      if (fleetFails) {
        throw new IllegalStateException("test");
      }
    }

    @Override
    public void reportMissing(String engine, AdapterKey key) {
      failIfTold();
      fleetCalls.add("missing " + engine + " " + key);
    }
  }

  @BeforeEach
  void start() {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    MemoryLimits memoryLimits = new MemoryLimits(16_777_216, 1_000);
    ServingSettings settings =
        new ServingSettings(
            "n",
            "d",
            true,
            anyPort,
            anyPort,
            anyPort,
            anyPort,
            8_000,
            3_000,
            retryRatio,
            50,
            10_000,
            100,
            LIMITS,
            FreshnessBounds.DEFAULT,
            memoryLimits,
            QuotaBounds.DEFAULT,
            maxHedgeShare);
    EventLoop loop = group.next();
    Metrics metrics = new Metrics();
    MemoryLimiter memory = new MemoryLimiter(memoryLimits, LIMITS, metrics);
    router =
        new RequestRouter(
            loop,
            settings,
            NAMES,
            () -> view,
            () -> quotaShares,
            loadTracker,
            new RecordingFleet(),
            metrics,
            memory,
            new Random(1));
    CallerLimits limits = new CallerLimits(16_384, 65_536, 3_000, 15_000);
    server = new CallerServer(loop, anyPort, () -> limits, router, metrics, memory, 1_000);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    targets.forEach(ScriptedTarget::close);
    group.shutdownGracefully();
  }

  static final ScriptedTarget.Script ANSWERS_DONE =
      (id, number, out) -> {
        write(out, ok(id, "done"));
        return true;
      };

  /** Returns a script that sends the same bytes for each request. */
  static ScriptedTarget.Script always(String answer, boolean staysOpen) {
    return (id, number, out) -> {
      write(out, answer);
      return staysOpen;
    };
  }

  TargetEntry target(String id, ScriptedTarget.Script script) throws IOException {
    ScriptedTarget target = new ScriptedTarget(script);
    targets.add(target);
    return new TargetEntry(id, "s", "127.0.0.1", target.port(), "d", 8, false, 1, Map.of());
  }

  void serve(RequestKind kind, int maxAttempts, boolean resumable, TargetEntry... entries) {
    view = view(kind, maxAttempts, resumable, Optional.empty(), Map.of(), entries);
  }

  FleetView view(
      RequestKind kind,
      int maxAttempts,
      boolean resumable,
      Optional<EngineSpec> engine,
      Map<String, Residency> residency,
      TargetEntry... entries) {
    Route route =
        new Route(
            "r",
            "h",
            "/p/",
            kind,
            5_000,
            500,
            firstByteTimeoutMs,
            maxAttempts,
            0,
            resumable,
            List.of(new WeightedService("s", 1)));
    RoutingPlan plan =
        new RoutingPlan(
            1,
            List.of(route),
            List.of(new ServiceSpec("s", maxConnections, engine)),
            new CallerLimits(16_384, 65_536, 3_000, 15_000));
    return new FleetView(
        plan,
        confirmedMs,
        Map.of("s", List.of(entries)),
        residency,
        Set.of("t1"),
        Map.of(),
        Map.of(),
        Set.of("n"),
        1,
        usesRelays,
        slowness);
  }

  /** Sends one request on a new connection and returns everything that is received on it. */
  String call(String headers) throws IOException {
    return sendRaw(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\n"
            + headers
            + "Content-Length: 2\r\n\r\nhi");
  }

  String sendRaw(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      socket.setSoTimeout((int) TEST_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return readAll(socket.getInputStream());
    }
  }

  static String readAll(InputStream in) throws IOException {
    StringBuilder received = new StringBuilder();
    byte[] buffer = new byte[4_096];
    try {
      int read = in.read(buffer);
      while (read > 0) {
        received.append(new String(buffer, 0, read, StandardCharsets.UTF_8));
        read = in.read(buffer);
      }
    } catch (SocketException e) {
      received.append("[reset]");
    }
    return received.toString();
  }

  void awaitFleetCall() {
    awaitFleetCalls(1);
  }

  void awaitFleetCalls(int count) {
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    while (fleetCalls.size() < count && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
  }

  int countHeads() {
    return targets.stream().mapToInt(target -> target.heads().size()).sum();
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** Waits until the targets have received this number of requests. */
  void awaitHeads(int count) {
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    while (countHeads() < count && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
  }
}
