package org.apricotstand.cli;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apricotstand.Apricotstand;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineHeaders;
import org.apricotstand.entry.EntryInstance;
import org.apricotstand.http.HttpCall;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpReply;
import org.apricotstand.model.Failure;
import org.apricotstand.model.Result;
import org.apricotstand.settings.InstanceSettings;
import org.apricotstand.standin.engine.EngineSettings;
import org.apricotstand.standin.engine.StandInEngine;
import org.apricotstand.standin.platform.PlatformSettings;
import org.apricotstand.standin.platform.StandInPlatform;
import org.apricotstand.standin.service.StandInService;

/**
 * Runs an instance with embedded stand-ins, sends a few requests and checks their results: each is
 * answered by the expected adapter version, and an order that is sent twice runs once.
 */
@Parameters(commandDescription = "runs a whole system in one process and sends a few requests")
final class TryCommand implements Command {

  private static final String LOOPBACK_ANY_PORT = "127.0.0.1:0";
  private static final long REQUEST_TIMEOUT_MS = 30_000;
  private static final long CONFIGURATION_TIMEOUT_MS = 20_000;
  private static final int ENGINES = 2;
  private static final String DECLARATIONS =
      """
      models:
        - name: base
      adapters:
        - {name: compliance-letters, model: base, versions: [v1, v2], route: {v2: 100}}
        - {name: safety-summaries, model: base, versions: [v1]}
      services:
        - {name: orders, path: /orders, repeatable: false, identityHeader: x-order-id}
      targets:
        - {name: engine-1, kind: engine, serves: base, domain: a, address: "%s", \
      fencing: enforced, slots: 2, maxBatch: 8}
        - {name: engine-2, kind: engine, serves: base, domain: a, address: "%s", \
      fencing: enforced, slots: 2, maxBatch: 8}
        - {name: orders-1, kind: service, serves: orders, domain: a, address: "%s", \
      fencing: ignored, slots: 0, maxBatch: 0}
      """;

  @Override
  public int run() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try (HttpClient http = new HttpClient(group);
        StandInPlatform platform =
            StandInPlatform.start(group, new PlatformSettings(LOOPBACK_ANY_PORT, 4, 1, 8, 250));
        StandInEngine first = startEngine(group, http, "engine-1", platform.url());
        StandInEngine second = startEngine(group, http, "engine-2", platform.url());
        StandInService orders =
            StandInService.start(
                group, InstanceSettings.parseAddress(LOOPBACK_ANY_PORT), "x-order-id");
        EntryInstance instance = Apricotstand.start(settings(platform.url()))) {
      Result<Long> applied = applyDeclarations(platform, first, second, orders);
      if (applied instanceof Result.Failed<Long>(Failure failure)) {
        System.err.println("not accepted: " + failure);
        return ExitCodes.FAILED;
      }
      awaitConfiguration(http, instance);
      return sendRequests(http, instance.callerAddress(), orders);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static StandInEngine startEngine(
      EventLoopGroup group, HttpClient http, String name, String platformUrl) {
    EngineSettings settings =
        new EngineSettings(name, LOOPBACK_ANY_PORT, platformUrl, 2, 8, 20, 8, true);
    return StandInEngine.start(group, http, settings);
  }

  private static InstanceSettings settings(String platformUrl) {
    return new InstanceSettings(
        "entry-1",
        "a",
        LOOPBACK_ANY_PORT,
        LOOPBACK_ANY_PORT,
        LOOPBACK_ANY_PORT,
        null,
        platformUrl,
        List.of());
  }

  private static Result<Long> applyDeclarations(
      StandInPlatform platform, StandInEngine first, StandInEngine second, StandInService orders)
      throws IOException {
    String declarations =
        DECLARATIONS.formatted(
            hostAndPort(first.address()),
            hostAndPort(second.address()),
            hostAndPort(orders.address()));
    Path file = Files.createTempFile("apricotstand-try", ".yaml");
    try {
      Files.writeString(file, declarations);
      return HttpResources.apply(platform.url(), file);
    } finally {
      Files.delete(file);
    }
  }

  private static void awaitConfiguration(HttpClient http, EntryInstance instance) throws Exception {
    long deadlineMs = ControlThread.nowMs() + CONFIGURATION_TIMEOUT_MS;
    while (countDispatchableEngines(http, instance) < ENGINES
        && ControlThread.nowMs() < deadlineMs) {
      Thread.sleep(20);
    }
    System.out.println("active revision: " + instance.configuration().activeRevision().number());
  }

  /**
   * Returns the number of engines to which the instance may dispatch, by its operator interface.
   */
  private static long countDispatchableEngines(HttpClient http, EntryInstance instance)
      throws IOException {
    String url = "http://" + hostAndPort(instance.operatorAddress()) + "/status";
    HttpReply reply =
        http.send(HttpCall.get(url, ControlThread.nowMs() + REQUEST_TIMEOUT_MS)).join();
    return new ObjectMapper()
        .readTree(reply.body()).path("engines").findValues("mayDispatch").stream()
            .filter(JsonNode::asBoolean)
            .count();
  }

  private static int sendRequests(
      HttpClient http, InetSocketAddress callerAddress, StandInService orders) {
    boolean lettersPassed =
        sendCompletion(http, callerAddress, "compliance-letters", "compliance-letters@v2");
    boolean summariesPassed =
        sendCompletion(http, callerAddress, "safety-summaries@v1", "safety-summaries@v1");
    sendOrder(http, callerAddress);
    sendOrder(http, callerAddress);
    System.out.println("order A-1 was run " + orders.runCount("A-1") + " time(s)");
    boolean passed = lettersPassed && summariesPassed && orders.runCount("A-1") == 1;
    System.out.println(passed ? "all as expected" : "NOT as expected");
    return passed ? ExitCodes.OK : ExitCodes.FAILED;
  }

  private static boolean sendCompletion(
      HttpClient http, InetSocketAddress callerAddress, String model, String expected) {
    String body = "{\"model\":\"" + model + "\",\"prompt\":\"Hello\",\"stream\":true}";
    HttpReply reply = post(http, callerAddress, "/v1/completions", body, "x-caller", "try");
    String version = reply.headers().get(EngineHeaders.ADAPTER_VERSION);
    boolean complete = reply.text().endsWith("data: [DONE]\n\n");
    System.out.println(
        model
            + ": status "
            + reply.status()
            + ", answered by "
            + version
            + ", complete "
            + complete);
    return expected.equals(version) && complete;
  }

  private static void sendOrder(HttpClient http, InetSocketAddress callerAddress) {
    HttpReply reply = post(http, callerAddress, "/orders", "{\"drums\":4}", "x-order-id", "A-1");
    System.out.println("order A-1: status " + reply.status() + ", answer " + reply.text());
  }

  private static HttpReply post(
      HttpClient http,
      InetSocketAddress callerAddress,
      String path,
      String body,
      String header,
      String value) {
    HttpCall call =
        HttpCall.json(
                "POST",
                "http://" + hostAndPort(callerAddress) + path,
                body.getBytes(StandardCharsets.UTF_8),
                ControlThread.nowMs() + REQUEST_TIMEOUT_MS)
            .withHeader(header, value);
    return http.send(call).join();
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
