package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apricotstand.standin.fault.Direction;
import org.apricotstand.standin.fault.Fault;
import org.apricotstand.standin.fault.FaultProxy;
import org.apricotstand.standin.fault.ProxyConnection;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against answers and runs that go wrong when a link fails in the middle of a request. */
final class FaultyLinksTest {

  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      policy: {stallWeight: 1, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 30000}
      adapters:
        - {name: letters, model: base, versions: [v1]}
      services:
        - {name: orders, path: /orders, repeatable: false, identityHeader: x-order-id}
      """;

  private static final Pattern TOKEN = Pattern.compile("token (\\d+)\\.");

  private static ProcessCluster cluster;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform("--load-ms", "50", "--loads-per-second", "20");
    cluster.startEngine("engine-1", "a", 2, 8, "--step-ms", "20");
    cluster.startService("orders-1", "orders", "a");
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
    cluster.apply(DECLARATIONS);
    cluster.awaitServing("entry-1", "letters");
    cluster.awaitServing("entry-2", "letters");
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  @AfterEach
  void heal() {
    cluster.proxy(Link.toTarget("engine-1")).heal();
    cluster.proxy(Link.toTarget("orders-1")).heal();
    cluster.proxy(Link.peer("entry-2", "entry-1")).heal();
  }

  @Test
  void streamThatTheEngineLinkCutsIsNotClosedAsWhole() {
    Map<ProxyConnection, Long> before = passedBytes();
    CompletableFuture<Answer> open = longStream("entry-1", 200);
    awaitStarted(before, 1_000);
    cluster.proxy(Link.toTarget("engine-1")).resetConnections();
    Answer answer = open.join();
    assertWithMessage(answer.toString())
        .that(answer.whole() && answer.status() == 200 && !answer.body().endsWith("[DONE]\n\n"))
        .isFalse();
  }

  /** Guards against a gap or a repeat where a stream was resumed. */
  @Test
  void streamThatTheEngineLinkCutsGoesOnWhereItBroke() {
    int tokens = 200;
    Map<ProxyConnection, Long> before = passedBytes();
    CompletableFuture<Answer> open = longStream("entry-2", tokens);
    awaitStarted(before, 1_000);
    cluster.proxy(Link.toTarget("engine-1")).resetConnections();
    Answer answer = open.join();
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.whole()).isTrue();
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    List<String> numbers =
        TOKEN.matcher(answer.body()).results().map(token -> token.group(1)).toList();
    assertThat(numbers)
        .containsExactlyElementsIn(IntStream.range(0, tokens).mapToObj(String::valueOf).toList())
        .inOrder();
  }

  @Test
  void streamThatThePeerLinkCutsIsNotClosedAsWhole() {
    Map<ProxyConnection, Long> before = passedBytes();
    CompletableFuture<Answer> open = longStream("entry-2", 200);
    awaitStarted(before, 1_000);
    cluster.proxy(Link.peer("entry-2", "entry-1")).resetConnections();
    Answer answer = open.join();
    assertWithMessage(answer.toString())
        .that(answer.whole() && answer.status() == 200 && !answer.body().endsWith("[DONE]\n\n"))
        .isFalse();
  }

  @Test
  void orderWhoseAnswerIsLostRunsOnceHoweverOftenItIsRepeated() {
    FaultProxy service = cluster.proxy(Link.toTarget("orders-1"));
    service.setFault(Direction.TO_CLIENT, Fault.resetOnFirstByte());
    Answer first = order("entry-1", "lost-1");
    assertWithMessage(first.toString())
        .that(first.header("x-apricotstand-outcome"))
        .isEqualTo("unknown");
    service.heal();
    Answer repeat = order("entry-2", "lost-1");
    assertWithMessage(repeat.toString()).that(repeat.status()).isNotEqualTo(200);
    order("entry-1", "lost-1");
    assertThat(runs("lost-1")).isEqualTo(1);
  }

  @Test
  void orderThatNeverReachedTheServiceIsNotRunAndMayBeRepeated() {
    FaultProxy service = cluster.proxy(Link.toTarget("orders-1"));
    service.refuseConnections();
    Answer refused = order("entry-1", "refused-1");
    assertWithMessage(refused.toString())
        .that(refused.header("x-apricotstand-outcome"))
        .isEqualTo("not_run");
    assertThat(runs("refused-1")).isEqualTo(0);
    service.acceptConnections();
    assertThat(order("entry-1", "refused-1").status()).isEqualTo(200);
    assertThat(runs("refused-1")).isEqualTo(1);
  }

  private static CompletableFuture<Answer> longStream(String entry, int tokens) {
    String body =
        "{\"model\":\"letters\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":" + tokens + "}";
    return cluster
        .caller()
        .postAsync(cluster.callerAddress(entry), "/v1/completions", body, Map.of());
  }

  /** Returns the bytes that each connection to the engine passed to its caller so far. */
  private static Map<ProxyConnection, Long> passedBytes() {
    return cluster.proxy(Link.toTarget("engine-1")).connections().stream()
        .collect(
            Collectors.toMap(Function.identity(), one -> one.forwardedBytes(Direction.TO_CLIENT)));
  }

  /**
   * Waits until a connection passed that many bytes more than before. Kept connections carry other
   * answers as well, and have passed nearly as many bytes when the stream is sent.
   */
  private static void awaitStarted(Map<ProxyConnection, Long> before, long bytes) {
    Await.until(
        "the stream passes the engine's proxy",
        () ->
            passedBytes().entrySet().stream()
                .anyMatch(
                    entry -> entry.getValue() - before.getOrDefault(entry.getKey(), 0L) > bytes));
  }

  private static Answer order(String entry, String identity) {
    return cluster
        .caller()
        .post(
            cluster.callerAddress(entry),
            "/orders",
            "{\"drums\":4}",
            Map.of("x-order-id", identity));
  }

  private static long runs(String identity) {
    Answer events = cluster.caller().get(cluster.directAddress("orders-1"), "/events");
    return events.body().lines().filter(line -> line.contains("\"" + identity + "\"")).count();
  }
}
