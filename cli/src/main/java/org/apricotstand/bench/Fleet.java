package org.apricotstand.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.apricotstand.Apricotstand;
import org.apricotstand.control.ControlThread;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.standin.engine.EngineSettings;
import org.apricotstand.standin.engine.StandInEngine;
import org.apricotstand.standin.platform.PlatformSettings;
import org.apricotstand.standin.platform.StandInPlatform;
import org.apricotstand.standin.service.StandInService;

/**
 * Fleet of one run in this process: stand-in platform, engines, plain service and entry instances.
 */
final class Fleet implements AutoCloseable {

  private static final String LOOPBACK_ANY_PORT = "127.0.0.1:0";
  private static final String IDENTITY_HEADER = "x-order-id";
  private static final long CONFIGURATION_TIMEOUT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 20;
  private static final long OWNERS_TIMEOUT_MS = 60_000;
  // After the owner rows are written, owners still have to read the state of their engines and
  // other instances have to learn the owners. Requests start after that, so that every policy is
  // measured under the same conditions.
  private static final long OWNER_PROPAGATION_MS = 3_000;
  private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

  private final Scenario scenario;
  private final StandInPlatform platform;
  private final List<StandInEngine> engines = new ArrayList<>();
  private final List<EntryInstance> entries = new ArrayList<>();
  private final StandInService orders;

  /**
   * Starts the fleet. Waits until the declarations are active at every entry instance and every
   * engine has an owner.
   */
  Fleet(
      Scenario scenario,
      String policy,
      EventLoopGroup group,
      HttpClient http,
      DeclarationWriter writer)
      throws IOException, InterruptedException {
    this.scenario = scenario;
    Scenario.Store store = scenario.store();
    this.platform =
        StandInPlatform.start(
            group,
            new PlatformSettings(
                LOOPBACK_ANY_PORT,
                store.loadsPerSecond(),
                store.loadBurst(),
                store.loadsInFlight(),
                store.loadMs()));
    this.orders =
        StandInService.start(
            group, InstanceSettings.parseAddress(LOOPBACK_ANY_PORT), IDENTITY_HEADER);
    for (int engine = 0; engine < scenario.engines(); engine++) {
      engines.add(StandInEngine.start(group, http, engineSettings(engine)));
    }
    startEntries(policy);
    applyDeclarations(writer);
    awaitConfiguration();
    awaitOwners(http);
    setOrderRunTime(http);
  }

  private EngineSettings engineSettings(int number) {
    EngineSettings.Behavior defaults = EngineSettings.Behavior.DEFAULT;
    EngineSettings.Behavior behavior =
        new EngineSettings.Behavior(
            defaults.prefillBlocksPerStep(),
            defaults.cacheBlocks(),
            scenario.reportLagMs(),
            defaults.cacheEventLagMs(),
            defaults.cacheEventLoss(),
            defaults.resumeMs(),
            defaults.coldStartMs(),
            "",
            number);
    return new EngineSettings(
        engineName(number),
        LOOPBACK_ANY_PORT,
        platform.url(),
        scenario.slots(),
        scenario.maxBatch(),
        scenario.stepMs(),
        scenario.classes().getFirst().tokens(),
        true,
        behavior);
  }

  private static String engineName(int number) {
    return "engine-" + (number + 1);
  }

  private void startEntries(String policy) throws IOException {
    List<InstanceSettings.Peer> instances = new ArrayList<>();
    for (int entry = 0; entry < scenario.entries(); entry++) {
      instances.add(
          new InstanceSettings.Peer(
              "entry-" + (entry + 1), scenario.domainOf(entry), findFreeAddress()));
    }
    for (InstanceSettings.Peer self : instances) {
      List<InstanceSettings.Peer> peers = instances.stream().filter(peer -> peer != self).toList();
      entries.add(Apricotstand.start(instanceSettings(self, peers, policy)));
    }
  }

  private InstanceSettings instanceSettings(
      InstanceSettings.Peer self, List<InstanceSettings.Peer> peers, String policy) {
    return new InstanceSettings(
        self.instance(),
        self.domain(),
        LOOPBACK_ANY_PORT,
        self.address(),
        LOOPBACK_ANY_PORT,
        null,
        platform.url(),
        peers,
        policy,
        null,
        null);
  }

  /**
   * Returns a loopback address with a free port; another process may take the port before its use.
   */
  private static String findFreeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private void applyDeclarations(DeclarationWriter writer) throws IOException {
    Path folder = Files.createTempDirectory("apricotstand-bench");
    Path file = folder.resolve("declarations.yaml");
    YAML.writeValue(file.toFile(), declarations());
    try {
      if (writer.apply(platform.url(), folder) instanceof Result.Failed<Long>(Failure failure)) {
        throw new IOException("declarations not accepted: " + failure);
      }
    } finally {
      Files.delete(file);
      Files.delete(folder);
    }
  }

  private Map<String, Object> declarations() {
    List<Map<String, Object>> adapters =
        IntStream.range(0, scenario.adapters())
            .mapToObj(
                number ->
                    Map.<String, Object>of(
                        "name",
                        Scenario.adapterName(number),
                        "model",
                        "base",
                        "versions",
                        List.of("v1"),
                        "requestClass",
                        scenario.classOf(number).name()))
            .toList();
    List<Map<String, Object>> targets = new ArrayList<>();
    for (int engine = 0; engine < engines.size(); engine++) {
      targets.add(
          target(
              engineName(engine),
              "engine",
              "base",
              scenario.domainOf(engine),
              engines.get(engine).address(),
              scenario.slots(),
              scenario.maxBatch()));
    }
    targets.add(
        target("orders-1", "service", "orders", scenario.domainOf(0), orders.address(), 0, 0));
    Map<String, Object> declarations = new LinkedHashMap<>();
    declarations.put("models", List.of(Map.of("name", "base")));
    declarations.put("adapters", adapters);
    declarations.put(
        "services",
        List.of(
            Map.of(
                "name",
                "orders",
                "path",
                "/orders",
                "repeatable",
                false,
                "identityHeader",
                IDENTITY_HEADER)));
    declarations.put("targets", targets);
    declarations.put(
        "policy",
        Map.of(
            "stallWeight", scenario.stallWeight(),
            "loadsPerSecond", scenario.store().loadsPerSecond(),
            "loadsInFlight", scenario.store().loadsInFlight(),
            "requestTimeoutMs", scenario.requestTimeoutMs()));
    return declarations;
  }

  private static Map<String, Object> target(
      String name,
      String kind,
      String serves,
      String domain,
      InetSocketAddress address,
      int slots,
      int maxBatch) {
    Map<String, Object> target = new LinkedHashMap<>();
    target.put("name", name);
    target.put("kind", kind);
    target.put("serves", serves);
    target.put("domain", domain);
    target.put("address", "127.0.0.1:" + address.getPort());
    target.put("fencing", kind.equals("engine") ? "enforced" : "ignored");
    target.put("slots", slots);
    target.put("maxBatch", maxBatch);
    return target;
  }

  private void awaitConfiguration() throws InterruptedException, IOException {
    long deadlineMs = ControlThread.nowMs() + CONFIGURATION_TIMEOUT_MS;
    for (EntryInstance entry : entries) {
      while (entry.configuration().activeRevision().number() == 0) {
        if (ControlThread.nowMs() > deadlineMs) {
          throw new IOException("an instance has no active declarations");
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  /** Waits until every engine has an owner, so that the fleet can serve the first requests. */
  private void awaitOwners(HttpClient http) throws InterruptedException, IOException {
    String url = platform.url() + "/tables/owners/rows?prefix=";
    long deadlineMs = ControlThread.nowMs() + OWNERS_TIMEOUT_MS;
    while (Json.parse(http.send(HttpCall.get(url, deadlineMs)).join().text()).size()
        < engines.size()) {
      if (ControlThread.nowMs() > deadlineMs) {
        throw new IOException("not every engine has an owner");
      }
      Thread.sleep(POLL_INTERVAL_MS);
    }
    Thread.sleep(OWNER_PROPAGATION_MS);
  }

  /** Sets how long the plain service runs each order. */
  private void setOrderRunTime(HttpClient http) {
    String url = "http://127.0.0.1:" + orders.address().getPort() + "/faults";
    byte[] body = ("{\"slow_ms\":" + scenario.orders().runMs() + "}").getBytes();
    http.send(HttpCall.json("POST", url, body, ControlThread.nowMs() + CONFIGURATION_TIMEOUT_MS))
        .join();
  }

  List<InetSocketAddress> callerAddresses() {
    return entries.stream().map(EntryInstance::callerAddress).toList();
  }

  List<StandInEngine> engines() {
    return engines;
  }

  StandInPlatform platform() {
    return platform;
  }

  StandInService orders() {
    return orders;
  }

  @Override
  public void close() {
    entries.forEach(EntryInstance::close);
    engines.forEach(StandInEngine::close);
    orders.close();
    platform.close();
  }
}
