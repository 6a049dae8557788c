package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.fleet.FleetView;
import org.apricotstand.fleet.LocalLoadTracker;
import org.apricotstand.front.CallerRequest;
import org.apricotstand.front.CallerServer;
import org.apricotstand.observe.Metrics;
import org.apricotstand.port.AnswerLimits;
import org.apricotstand.port.HeaderNames;
import org.apricotstand.port.ServingSettings;
import org.apricotstand.residency.AdapterKey;
import org.apricotstand.residency.Residency;
import org.apricotstand.residency.SlotEvent;
import org.apricotstand.route.CallerLimits;
import org.apricotstand.route.EngineSpec;
import org.apricotstand.route.ModelSpec;
import org.apricotstand.route.RequestKind;
import org.apricotstand.route.Route;
import org.apricotstand.route.RoutingPlan;
import org.apricotstand.route.ServiceSpec;
import org.apricotstand.route.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestRouterTest {

  private static final HeaderNames NAMES =
      new HeaderNames(
          "x-id",
          "x-deadline",
          "x-model",
          "x-expect-target",
          "x-expect-version",
          "x-urgency",
          "x-not-executed",
          "x-seal",
          "x-prompt",
          "last-event-id",
          Set.of("x-expect-target", "x-reserved"));
  private static final AdapterKey ADAPTER = new AdapterKey("m", "a1");
  private static final long TEST_TIMEOUT_MS = 20_000;

  /** Time between crashes that have nothing in common but the request. */
  private static final long CRASH_SPACING_MS = 300;

  private static final AnswerLimits LIMITS = new AnswerLimits(65_536, 16_384);

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<ScriptedTarget> targets = new ArrayList<>();
  private final List<String> fleetCalls = new CopyOnWriteArrayList<>();
  private final LocalLoadTracker loadTracker = new LocalLoadTracker();
  private volatile FleetView view = FleetView.EMPTY;
  private long firstByteTimeoutMs = 2_000;
  private CallerServer server;
  private RequestRouter router;

  private final class RecordingFleet implements FleetNotifier {
    @Override
    public void requestLoad(String engine, SlotEvent.LoadRequested loadRequest) {
      fleetCalls.add(engine + " " + loadRequest.key() + " " + loadRequest.version());
    }

    @Override
    public void reportCrash(String fingerprint, String incarnation) {
      fleetCalls.add("crashed " + incarnation);
    }

    @Override
    public void reportMissing(String engine, AdapterKey key) {
      fleetCalls.add("missing " + engine + " " + key);
    }
  }

  @BeforeEach
  void start() {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    ServingSettings settings =
        new ServingSettings(
            "n", "d", anyPort, anyPort, anyPort, anyPort, 8_000, 3_000, 0.2, 50, 10_000, 100,
            LIMITS);
    EventLoop loop = group.next();
    Metrics metrics = new Metrics();
    router =
        new RequestRouter(
            loop,
            settings,
            NAMES,
            () -> view,
            loadTracker,
            new RecordingFleet(),
            metrics,
            new Random(1));
    CallerLimits limits = new CallerLimits(16_384, 65_536, 3_000, 15_000);
    server = new CallerServer(loop, anyPort, () -> limits, router, metrics);
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
    targets.forEach(ScriptedTarget::close);
    group.shutdownGracefully();
  }

  private static final ScriptedTarget.Script ANSWERS_DONE =
      (id, number, out) -> {
        write(out, ok(id, "done"));
        return true;
      };

  /** Returns a script that sends the same bytes for each request. */
  private static ScriptedTarget.Script always(String answer, boolean staysOpen) {
    return (id, number, out) -> {
      write(out, answer);
      return staysOpen;
    };
  }

  private TargetEntry target(String id, ScriptedTarget.Script script) throws IOException {
    ScriptedTarget target = new ScriptedTarget(script);
    targets.add(target);
    return new TargetEntry(id, "s", "127.0.0.1", target.port(), "d", 8, false, 1, Map.of());
  }

  private void serve(RequestKind kind, int maxAttempts, boolean resumable, TargetEntry... entries) {
    view = view(kind, maxAttempts, resumable, Optional.empty(), Map.of(), entries);
  }

  private FleetView view(
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
            List.of(new ServiceSpec("s", 100, engine)),
            new CallerLimits(16_384, 65_536, 3_000, 15_000));
    return new FleetView(
        plan, Map.of("s", List.of(entries)), residency, Set.of("t1"), Map.of(), Map.of(), 1);
  }

  /** Sends one request on a new connection and returns everything that is received on it. */
  private String call(String headers) throws IOException {
    return sendRaw(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\n"
            + headers
            + "Content-Length: 2\r\n\r\nhi");
  }

  private String sendRaw(String request) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      socket.setSoTimeout((int) TEST_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return readAll(socket.getInputStream());
    }
  }

  private static String readAll(InputStream in) throws IOException {
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

  // Guards against a changed request or answer, and against callers that set reserved headers.
  @Test
  void forwardsRequestAndAnswerUnchanged() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            always(
                "HTTP/1.1 201 Created\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nyes",
                true)));
    String answer = call("X-Reserved: forged\r\nX-Deadline: 900\r\n");
    assertThat(answer).contains("201 Created");
    assertThat(answer).contains("X-Seal: s");
    assertThat(answer).endsWith("\r\n\r\nyes");
    String head = targets.getFirst().heads().getFirst();
    assertThat(head).startsWith("POST /p/x HTTP/1.1\n");
    assertThat(head).contains("x-expect-target: t1");
    assertThat(head).doesNotContain("forged");
    assertThat(Long.parseLong(ScriptedTarget.valueOf(head, "x-deadline", ""))).isAtMost(900);
  }

  // Guards against passing on an answer to another request, which the target sends first.
  @Test
  void dropsAnAnswerWithAnotherId() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              write(out, ok("other", "wrong") + ok(id, "right"));
              return true;
            }));
    assertThat(call("")).endsWith("right");
  }

  // Guards against a second run of a non-idempotent request that may have run already.
  @Test
  void aNonIdempotentRequestIsNotRetriedAfterALostAnswer() throws IOException {
    ScriptedTarget.Script closeConnection = (id, number, out) -> false;
    serve(
        RequestKind.NON_IDEMPOTENT,
        3,
        false,
        target("t1", closeConnection),
        target("t2", closeConnection));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    assertThat(targets.get(0).heads().size() + targets.get(1).heads().size()).isEqualTo(1);
  }

  // Guards against passing on a truncated answer as a complete one.
  @Test
  void aTruncatedAnswerIsNotPassedOn() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            always(
                "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
                false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against passing on bytes that are not HTTP, or waiting for an answer after them.
  @Test
  void anAnswerThatIsNotHttpIsAFailure() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", always("\u0001\u0002 what is this\r\n\r\n", false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against failing a request although the target stated that it did not run it.
  @Test
  void aRequestThatDidNotRunGoesToAnotherTarget() throws IOException {
    ScriptedTarget.Script notExecuted =
        always("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true);
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", notExecuted),
        target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }

  // Guards against failing an idempotent request although a second target could serve it.
  @Test
  void anIdempotentRequestIsRetriedAfterAFailure() throws IOException {
    ScriptedTarget.Script failing =
        always("HTTP/1.1 500 Oops\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n", true);
    serve(RequestKind.IDEMPOTENT, 2, false, target("t1", failing), target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }

  // Guards against more runs of an idempotent request than the route allows.
  @Test
  void theLastFailureIsPassedOnWhenNoAttemptIsLeft() throws IOException {
    ScriptedTarget.Script failing =
        always("HTTP/1.1 500 Oops\r\nX-Id: q1\r\nContent-Length: 4\r\n\r\noops", true);
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", failing), target("t2", failing));
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 500 ");
    assertThat(answer).endsWith("oops");
  }

  // Guards against events that are lost, duplicated or merged when a broken stream is resumed at
  // another target.
  @Test
  void aResumableStreamContinuesAfterItsLastWholeEvent() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    ScriptedTarget.Script breaking =
        (id, number, out) -> {
          write(out, head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
          return false;
        };
    ScriptedTarget.Script resuming =
        (id, number, out) -> {
          write(out, head + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
          return true;
        };
    ScriptedTarget.Script breakThenResume =
        (id, number, out) ->
            joinedHeads().contains("last-event-id: 1")
                ? resuming.answer(id, number, out)
                : breaking.answer(id, number, out);
    serve(
        RequestKind.STREAM, 2, true, target("t1", breakThenResume), target("t2", breakThenResume));
    String answer = call("");
    assertThat(answer).contains("id: 1\ndata: a\n\n");
    assertThat(answer).contains("id: 2\ndata: b\n\n");
    assertThat(answer).endsWith("0\r\n\r\n");
    assertThat(answer.split("id: 2", -1)).hasLength(2);
  }

  private String joinedHeads() {
    return targets.stream()
        .flatMap(target -> target.heads().stream())
        .reduce("", (joined, head) -> joined + head);
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  // Guards against sending a last chunk after a broken stream, which would make it look complete.
  @Test
  void aBrokenStreamEndsWithoutItsLastChunk() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              write(
                  out,
                  "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + chunk("id: 1\n\n"));
              return false;
            }));
    assertThat(call("")).doesNotContain("0\r\n\r\n");
  }

  // Guards against sending a request to an engine that has not loaded its adapter.
  @Test
  void waitsUntilTheEngineHoldsTheAdapter() throws Exception {
    EngineSpec engine = new EngineSpec(8, 1_000, 4, List.of(new ModelSpec("m", 500, 1_000, 10)));
    TargetEntry target = target("t1", ANSWERS_DONE);
    view = view(RequestKind.STREAM, 1, false, Optional.of(engine), Map.of(), target);
    Thread loader =
        Thread.ofPlatform()
            .start(
                () -> {
                  awaitFleetCall();
                  Residency residency = Residency.of(Map.of(ADAPTER, 1L));
                  view =
                      view(
                          RequestKind.STREAM,
                          1,
                          false,
                          Optional.of(engine),
                          Map.of("t1", residency),
                          target);
                  router.loop().execute(router::onViewChanged);
                });
    assertThat(call("X-Model: m/a1\r\n")).contains("done");
    loader.join();
    assertThat(fleetCalls).contains("t1 m/a1 0");
  }

  // Guards against requests that wait for an adapter until their callers disconnect.
  @Test
  void refusesBeforeTheCallerDisconnectsWhenTheAdapterIsNotLoaded() throws Exception {
    EngineSpec engine = new EngineSpec(8, 1_000, 4, List.of(new ModelSpec("m", 500, 1_000, 10)));
    firstByteTimeoutMs = 400;
    view =
        view(
            RequestKind.STREAM,
            1,
            false,
            Optional.of(engine),
            Map.of(),
            target("t1", ANSWERS_DONE));
    String answer = call("X-Model: m/a1\r\nX-Deadline: 4000\r\n").toLowerCase(Locale.ROOT);
    assertThat(answer).startsWith("http/1.1 503 ");
    assertThat(answer).contains("adapter_not_loaded");
    assertThat(answer).contains("retry-after: ");
    assertThat(targets.getFirst().heads()).isEmpty();
  }

  private void awaitFleetCall() {
    awaitFleetCalls(1);
  }

  private void awaitFleetCalls(int count) {
    long endMs = System.nanoTime() / 1_000_000 + TEST_TIMEOUT_MS;
    while (fleetCalls.size() < count && System.nanoTime() / 1_000_000 < endMs) {
      Thread.onSpinWait();
    }
  }

  // Guards against request smuggling by ambiguous body lengths, which two servers read differently.
  @Test
  void refusesARequestWithAmbiguousLength() throws IOException {
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", (id, number, out) -> false));
    String lengthAndChunked =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "0\r\n\r\nGET /p/y HTTP/1.1\r\nHost: h\r\n\r\n";
    assertThat(sendRaw(lengthAndChunked)).startsWith("HTTP/1.1 400 ");
    String unsupportedEncoding =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n";
    assertThat(sendRaw(unsupportedEncoding)).startsWith("HTTP/1.1 400 ");
    assertThat(targets.getFirst().heads()).isEmpty();
  }

  // Guards against a 404 before the first configuration is known; the request may be retried.
  @Test
  void answersNotRunBeforeAConfigurationIsKnown() throws IOException {
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 503 ");
    assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
  }

  // Guards against a request that is accepted shortly before the process stops and is then cut off.
  @Test
  void aStoppingInstanceRefusesRequestsThatCouldOutliveIt() throws Exception {
    serve(RequestKind.STREAM, 1, false, target("t1", ANSWERS_DONE));
    long nowMs = System.nanoTime() / 1_000_000;
    router.drain(nowMs + 60_000, nowMs + 1_000);
    assertThat(call("")).contains("done");
    router.drain(nowMs, nowMs + 60_000);
    assertThat(call("")).contains("done");
    router.drain(nowMs, nowMs + 1_000);
    assertThat(call("")).startsWith("HTTP/1.1 503 ");
  }

  // Guards against an idempotent request that waits for a silent target until its deadline.
  @Test
  void anIdempotentRequestIsRetriedWhenTheTargetIsSilent() throws IOException {
    ScriptedTarget.Script firstIsSilent =
        (id, number, out) -> {
          if (countHeads() > 1) {
            write(out, ok(id, "done"));
          }
          return true;
        };
    serve(
        RequestKind.IDEMPOTENT, 2, false, target("t1", firstIsSilent), target("t2", firstIsSilent));
    assertThat(call("X-Deadline: 1500\r\n")).endsWith("done");
  }

  private int countHeads() {
    return targets.stream().mapToInt(target -> target.heads().size()).sum();
  }

  // Guards against a request that crashes one target after the other.
  @Test
  void aRequestThatCrashedTwoTargetsIsRefused() throws Exception {
    serve(
        RequestKind.IDEMPOTENT,
        1,
        false,
        target(
            "t1",
            (id, number, out) -> {
              targets.getFirst().close();
              return false;
            }));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitFleetCall();
    assertThat(fleetCalls).containsExactly("crashed t1#1");
    CallerRequest sameRequest =
        new CallerRequest(
            HttpMethod.POST,
            "/p/x",
            new DefaultHttpHeaders(),
            "hi".getBytes(StandardCharsets.UTF_8),
            "127.0.0.1",
            0);
    router
        .loop()
        .submit(() -> router.recordCrash(RequestFingerprint.of(sameRequest), "t2#1"))
        .sync();
    assertThat(call("")).contains("crashes_targets");
  }

  // Guards against different requests that share only one part of their prompts and crash one
  // target
  // after the other, because each of them is blamed for one crash only.
  @Test
  void aPromptPartThatCrashedTargetsIsRefusedInOtherRequests() throws Exception {
    for (int i = 1; i <= 3; i++) {
      serve(RequestKind.STREAM, 1, false, target("t" + i, crashes));
      assertThat(callWithPrompt("first:9,subject:9,harmful:9,own" + i + ":9"))
          .startsWith("HTTP/1.1 502 ");
      awaitFleetCalls(i);
      Thread.sleep(CRASH_SPACING_MS);
    }
    serve(RequestKind.STREAM, 1, false, target("t4", ANSWERS_DONE));
    assertThat(callWithPrompt("first:9,subject:9,harmful:9,own4:9")).contains("crashes_targets");
    assertThat(targets.getLast().heads()).isEmpty();
    assertThat(callWithPrompt("first:9,subject:9,own5:9")).endsWith("done");
  }

  /** Crashes the newest target: closes its listener and the connection of the request. */
  private final ScriptedTarget.Script crashes =
      (id, number, out) -> {
        targets.getLast().close();
        return false;
      };

  /** Sends a request with the given prompt parts and with a path that no other request has. */
  private String callWithPrompt(String parts) throws IOException {
    return sendRaw(
        "POST /p/"
            + parts.hashCode()
            + " HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nConnection: close\r\nX-Prompt: "
            + parts
            + "\r\nContent-Length: 2\r\n\r\nhi");
  }

  // Guards against passing on a success without signature, as a crashing target can send it.
  @Test
  void aSuccessWithoutSignatureIsNotPassedOn() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target("t1", always("HTTP/1.1 200 OK\r\nX-Id: q1\r\n\r\n", false)));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against adding an end to an answer without length, whose end the target did not send.
  @Test
  void anAnswerWithoutLengthEndsWithItsConnection() throws IOException {
    serve(
        RequestKind.STREAM,
        1,
        false,
        target("t1", always("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\nid: 1\n\n", false)));
    String answer = call("");
    assertThat(answer).endsWith("\r\n\r\nid: 1\n\n");
    assertThat(answer.toLowerCase(Locale.ROOT)).doesNotContain("transfer-encoding");
  }

  // Guards against sending a second answer into a started stream that cannot be resumed.
  @Test
  void aStreamThatCannotBeResumedIsAborted() throws IOException {
    ScriptedTarget.Script breaking =
        always(
            "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk("id: 1\ndata: a\n\n"),
            false);
    List<TargetEntry> entries = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      entries.add(target("t" + i, breaking));
    }
    serve(RequestKind.STREAM, 9, true, entries.toArray(new TargetEntry[0]));
    targets.subList(1, targets.size()).forEach(ScriptedTarget::close);
    String answer = call("");
    assertThat(answer.split("HTTP/1.1", -1).length - 1).isAtMost(1);
    assertThat(answer).doesNotContain("0\r\n\r\n");
  }

  // Guards against more runs than the route allows when a target refuses to resume a stream.
  @Test
  void aRefusedResumptionCountsAsARun() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    ScriptedTarget.Script script =
        (id, number, out) -> {
          if (joinedHeads().contains("last-event-id")) {
            write(out, "HTTP/1.1 404 No\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n");
          } else {
            write(out, head + chunk("id: 1\n\n"));
          }
          return false;
        };
    serve(
        RequestKind.STREAM,
        2,
        true,
        target("t1", script),
        target("t2", script),
        target("t3", script));
    assertThat(call("")).doesNotContain("0\r\n\r\n");
    assertThat(countHeads()).isEqualTo(2);
  }

  /** Returns a script that sends a head and then bytes until the connection is closed. */
  private static ScriptedTarget.Script endless(String head, String repeated) {
    return (id, number, out) -> {
      write(out, head);
      while (true) {
        write(out, repeated);
      }
    };
  }

  /** Asserts that an endless answer ends the request as soon as the limit is reached. */
  private void assertEndsWith502(String head, String repeated) throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", endless(head, repeated)));
    assertThat(call("")).startsWith("HTTP/1.1 502");
  }

  // Guards against a target that fills the memory of an instance with a body without end.
  @Test
  void aBodyWithoutEndIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\n", "x".repeat(4_096));
  }

  // Guards against a head without end, which is no answer at any length.
  @Test
  void aHeadWithoutEndIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\n", "X-More: x\r\n");
  }

  // Guards against a target that keeps a connection busy with an answer to another request.
  @Test
  void anAnswerWithoutEndToAnotherRequestIsCutOff() throws IOException {
    assertEndsWith502("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n\r\n", "x".repeat(4_096));
  }

  // Guards against interim answers that never lead to a final one.
  @Test
  void interimAnswersWithoutEndAreCutOff() throws IOException {
    assertEndsWith502("", "HTTP/1.1 102 Processing\r\n\r\n");
  }

  // Guards against an event of a resumable stream that is kept in memory and never ends.
  @Test
  void anEventWithoutEndIsCutOff() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    serve(
        RequestKind.STREAM,
        1,
        true,
        target("t1", endless(head, "1000\r\n" + "x".repeat(4_096) + "\r\n")));
    // The stream must end visibly, without its last chunk.
    assertThat(call("")).doesNotContain("\r\n0\r\n\r\n");
  }

  // Guards against a rejection whose body never ends, after which the request waits in vain.
  @Test
  void aRejectionWithoutEndCountsAsNotRun() throws IOException {
    String head = "HTTP/1.1 503 Full\r\nX-Id: q1\r\nX-Not-Executed: 1\r\n\r\n";
    serve(
        RequestKind.NON_IDEMPOTENT,
        1,
        false,
        target("t1", endless(head, "x".repeat(4_096))),
        target("t2", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
  }
}
