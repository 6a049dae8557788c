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
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against truncated answers and duplicate runs when a link fails during a request. */
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
  void healLinks() {
    cluster.proxy(Link.toTarget("engine-1")).heal();
    cluster.proxy(Link.toTarget("orders-1")).heal();
    cluster.proxy(Link.peer("entry-2", "entry-1")).heal();
  }

  /** Guards against a cut stream that ends as if it were complete, but without its last event. */
  @Test
  void streamCutOnEngineLinkIsNotTruncatedSilently() {
    Map<ProxyConnection, Long> bytesBefore = bytesByConnection();
    CompletableFuture<Answer> pendingAnswer = startStream("entry-1", 200);
    awaitStreamProgress(bytesBefore, 1_000);
    cluster.proxy(Link.toTarget("engine-1")).resetConnections();
    Answer answer = pendingAnswer.join();
    assertWithMessage(answer.toString())
        .that(
            answer.isComplete() && answer.status() == 200 && !answer.body().endsWith("[DONE]\n\n"))
        .isFalse();
  }

  /** Guards against missing or duplicate tokens at the point where a stream was resumed. */
  @Test
  void streamCutOnEngineLinkResumesWithoutGapOrDuplicate() {
    int tokens = 200;
    Map<ProxyConnection, Long> bytesBefore = bytesByConnection();
    CompletableFuture<Answer> pendingAnswer = startStream("entry-2", tokens);
    awaitStreamProgress(bytesBefore, 1_000);
    cluster.proxy(Link.toTarget("engine-1")).resetConnections();
    Answer answer = pendingAnswer.join();
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    List<String> numbers =
        TOKEN.matcher(answer.body()).results().map(token -> token.group(1)).toList();
    assertThat(numbers)
        .containsExactlyElementsIn(IntStream.range(0, tokens).mapToObj(String::valueOf).toList())
        .inOrder();
  }

  @Test
  void streamCutOnPeerLinkIsNotTruncatedSilently() {
    Map<ProxyConnection, Long> bytesBefore = bytesByConnection();
    CompletableFuture<Answer> pendingAnswer = startStream("entry-2", 200);
    awaitStreamProgress(bytesBefore, 1_000);
    cluster.proxy(Link.peer("entry-2", "entry-1")).resetConnections();
    Answer answer = pendingAnswer.join();
    assertWithMessage(answer.toString())
        .that(
            answer.isComplete() && answer.status() == 200 && !answer.body().endsWith("[DONE]\n\n"))
        .isFalse();
  }

  @Test
  void orderWithLostAnswerRunsOnceDespiteRetries() {
    FaultProxy serviceProxy = cluster.proxy(Link.toTarget("orders-1"));
    serviceProxy.setFault(Direction.TO_CLIENT, Fault.resetOnFirstByte());
    Answer first = sendOrder("entry-1", "lost-1");
    assertWithMessage(first.toString())
        .that(first.header("x-apricotstand-outcome"))
        .isEqualTo("unknown");
    serviceProxy.heal();
    Answer retry = sendOrder("entry-2", "lost-1");
    assertWithMessage(retry.toString()).that(retry.status()).isNotEqualTo(200);
    sendOrder("entry-1", "lost-1");
    assertThat(runCount("lost-1")).isEqualTo(1);
  }

  @Test
  void orderThatNeverReachedServiceIsNotRunAndCanBeRetried() {
    FaultProxy serviceProxy = cluster.proxy(Link.toTarget("orders-1"));
    serviceProxy.refuseConnections();
    Answer refused = sendOrder("entry-1", "refused-1");
    assertWithMessage(refused.toString())
        .that(refused.header("x-apricotstand-outcome"))
        .isEqualTo("not_run");
    assertThat(runCount("refused-1")).isEqualTo(0);
    serviceProxy.acceptConnections();
    assertThat(sendOrder("entry-1", "refused-1").status()).isEqualTo(200);
    assertThat(runCount("refused-1")).isEqualTo(1);
  }

  private static CompletableFuture<Answer> startStream(String entry, int tokens) {
    String body =
        "{\"model\":\"letters\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":" + tokens + "}";
    return cluster
        .caller()
        .postAsync(cluster.callerAddress(entry), "/v1/completions", body, Map.of());
  }

  /** Returns the number of bytes that each connection to the engine has passed to its client. */
  private static Map<ProxyConnection, Long> bytesByConnection() {
    return cluster.proxy(Link.toTarget("engine-1")).connections().stream()
        .collect(
            Collectors.toMap(
                Function.identity(), connection -> connection.forwardedBytes(Direction.TO_CLIENT)));
  }

  /**
   * Waits until a connection to the engine has passed more than {@code minBytes} bytes beyond its
   * count in {@code bytesBefore}. Only the increase counts: pooled connections have carried other
   * answers, and may have passed nearly as many bytes before the stream starts.
   */
  private static void awaitStreamProgress(Map<ProxyConnection, Long> bytesBefore, long minBytes) {
    Await.until(
        "stream has started on a connection to the engine",
        () ->
            bytesByConnection().entrySet().stream()
                .anyMatch(
                    entry ->
                        entry.getValue() - bytesBefore.getOrDefault(entry.getKey(), 0L)
                            > minBytes));
  }

  private static Answer sendOrder(String entry, String identity) {
    return cluster
        .caller()
        .post(
            cluster.callerAddress(entry),
            "/orders",
            "{\"drums\":4}",
            Map.of("x-order-id", identity));
  }

  private static long runCount(String identity) {
    Answer events = cluster.caller().get(cluster.directAddress("orders-1"), "/events");
    return events.body().lines().filter(line -> line.contains("\"" + identity + "\"")).count();
  }
}
