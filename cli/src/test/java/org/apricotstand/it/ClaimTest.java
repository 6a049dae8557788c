package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.claim.ClaimHash;
import org.apricotstand.standin.fault.Direction;
import org.apricotstand.standin.fault.Fault;
import org.apricotstand.standin.fault.FaultProxy;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that run twice, or are reported falsely, while processes and links fail.
 */
final class ClaimTest {

  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      services:
        - {name: orders, path: /orders, repeatable: false, identityHeader: x-order-id}
        - {name: stock, path: /stock, repeatable: true}
      policy: {stallWeight: 0.5, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 8000}
      """;

  private static ProcessCluster cluster;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform();
    cluster.startService("orders-1", "orders", "a", "--identity", "x-order-id");
    cluster.startService("stock-1", "stock", "a", "--identity", "x-order-id");
    cluster.startService("stock-2", "stock", "a", "--identity", "x-order-id");
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
    cluster.apply(DECLARATIONS);
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  @AfterEach
  void repair() throws IOException {
    setFault("{\"slow_ms\":0}");
    cluster.proxy(Link.toPlatform("entry-1")).heal();
    cluster.proxy(Link.toTarget("orders-1")).heal();
    if (!cluster.process("entry-1").isAlive()) {
      restartFirstEntry();
    }
    // After failures, an instance refuses calls to the store for a moment.
    Await.until("usable store", () -> order("entry-1", "ready").status() == 200);
  }

  private static void restartFirstEntry() throws IOException {
    cluster.restart("entry-1");
    cluster.awaitRevision("entry-1", 1);
  }

  @Test
  void repeatsThatRaceOnTwoInstancesRunOnceAndGetTheSameAnswer() {
    setFault("{\"slow_ms\":700}");
    List<CompletableFuture<Answer>> racing = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      racing.add(orderAsync("entry-" + (1 + i % 2), "A-1"));
    }
    for (CompletableFuture<Answer> answer : racing) {
      assertAnswered(answer.join(), "A-1");
    }
    assertThat(runs("A-1")).isEqualTo(1);
  }

  @Test
  void otherBodyUnderTheSameIdentityIsRefusedAsNotRun() {
    assertAnswered(order("entry-1", "A-2"), "A-2");
    Answer other = post("entry-2", "A-2", "{\"amount\":99}");
    assertEnding(other, 422, "not_run", "identity_reused");
    assertThat(runs("A-2")).isEqualTo(1);
  }

  @Test
  void insertWhoseAnswerIsLostIsFoundAgain() {
    FaultProxy store = cluster.proxy(Link.toPlatform("entry-1"));
    store.setFault(Direction.TO_CLIENT, Fault.resetOnFirstByte());
    CompletableFuture<Answer> answer = orderAsync("entry-1", "A-3");
    Await.until("claim row", () -> claimRow("A-3").contains("CLAIMED"));
    assertThat(runs("A-3")).isEqualTo(0);
    store.heal();
    assertAnswered(answer.join(), "A-3");
    assertAnswered(order("entry-2", "A-3"), "A-3");
    assertThat(runs("A-3")).isEqualTo(1);
  }

  @Test
  void holderThatDiesDuringTheRunLeavesAnUnknownOutcome() throws IOException {
    setFault("{\"slow_ms\":60000}");
    CompletableFuture<Answer> first = orderAsync("entry-1", "A-4");
    Await.until("run or ending", () -> runs("A-4") == 1 || first.isDone());
    assertWithMessage("ending before the run: %s", first.getNow(null))
        .that(first.isDone())
        .isFalse();
    CompletableFuture<Answer> waiting = orderAsync("entry-2", "A-4");
    cluster.process("entry-1").kill();
    assertThat(first.join().status()).isEqualTo(0);
    assertEnding(waiting.join(), 502, "unknown", "claim_holder_lost");
    restartFirstEntry();
    assertEnding(order("entry-1", "A-4"), 502, "unknown", "claim_holder_lost");
    assertThat(runs("A-4")).isEqualTo(1);
  }

  @Test
  void storedAnswerOutlivesItsHolder() {
    assertAnswered(order("entry-1", "A-5"), "A-5");
    Await.until("stored answer", () -> claimRow("A-5").contains("ANSWERED"));
    cluster.process("entry-1").kill();
    assertAnswered(order("entry-2", "A-5"), "A-5");
    assertThat(runs("A-5")).isEqualTo(1);
  }

  @Test
  void tableThatIsDownMeansNotRun() {
    FaultProxy store = cluster.proxy(Link.toPlatform("entry-1"));
    store.refuseConnections();
    store.resetConnections();
    Answer refused = order("entry-1", "A-6");
    assertWithMessage(refused.toString()).that(refused.status()).isEqualTo(503);
    assertThat(refused.header("x-apricotstand-outcome")).isEqualTo("not_run");
    assertThat(runs("A-6")).isEqualTo(0);
    store.heal();
    assertAnswered(order("entry-1", "A-6"), "A-6");
    assertThat(runs("A-6")).isEqualTo(1);
  }

  @Test
  void tableThatIsSilentMeansNotRun() {
    cluster.proxy(Link.toPlatform("entry-1")).partition();
    assertEnding(order("entry-1", "A-7"), 503, "not_run", "claim_store_silent");
    assertThat(runs("A-7")).isEqualTo(0);
  }

  @Test
  void serviceThatCrashesBeforeOrAfterTheRunIsNotAskedAgain() {
    setFault("{\"crash_before\":1}");
    assertEnding(order("entry-1", "A-8"), 502, "unknown", "no_answer");
    assertEnding(order("entry-2", "A-8"), 502, "unknown", "former_outcome_unknown");
    assertThat(runs("A-8")).isEqualTo(0);
    setFault("{\"crash_after\":1}");
    assertEnding(order("entry-1", "A-9"), 502, "unknown", "no_answer");
    assertEnding(order("entry-2", "A-9"), 502, "unknown", "former_outcome_unknown");
    assertThat(runs("A-9")).isEqualTo(1);
  }

  @Test
  void callThatCouldNotBeSentIsNotRunAndMayBeSentAgain() {
    FaultProxy service = cluster.proxy(Link.toTarget("orders-1"));
    service.refuseConnections();
    assertEnding(order("entry-1", "A-10"), 503, "not_run", "not_sent");
    assertThat(claimRow("A-10")).isEqualTo("{}");
    service.acceptConnections();
    assertAnswered(order("entry-2", "A-10"), "A-10");
    assertThat(runs("A-10")).isEqualTo(1);
  }

  @Test
  void repeatableCallGoesToAnotherTarget() {
    cluster.process("stock-1").kill();
    for (int i = 0; i < 4; i++) {
      Answer answer =
          cluster
              .caller()
              .post(
                  cluster.callerAddress("entry-1"), "/stock/fog", "{}", Map.of("x-order-id", "s"));
      assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    }
  }

  private static Answer order(String entry, String identity) {
    return post(entry, identity, "{\"amount\":1}");
  }

  private static Answer post(String entry, String identity, String body) {
    Map<String, String> headers = Map.of("x-order-id", identity);
    return cluster.caller().post(cluster.callerAddress(entry), "/orders", body, headers);
  }

  private static CompletableFuture<Answer> orderAsync(String entry, String identity) {
    return cluster
        .caller()
        .postAsync(
            cluster.callerAddress(entry),
            "/orders",
            "{\"amount\":1}",
            Map.of("x-order-id", identity));
  }

  private static void setFault(String fault) {
    cluster.caller().post(cluster.directAddress("orders-1"), "/faults", fault, Map.of());
  }

  private static long runs(String identity) {
    return cluster
        .caller()
        .get(cluster.directAddress("orders-1"), "/events")
        .body()
        .lines()
        .filter(line -> line.contains("\"" + identity + "\""))
        .count();
  }

  private static String claimRow(String identity) {
    String path = "/tables/claims/rows/" + ClaimHash.key("orders", identity);
    return cluster.caller().get(cluster.directAddress(ProcessCluster.PLATFORM), path).body();
  }

  private static void assertAnswered(Answer answer, String identity) {
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("{\"identity\":\"" + identity + "\",\"run\":1}");
    assertThat(answer.header("x-apricotstand-outcome")).isEqualTo("answered");
  }

  private static void assertEnding(Answer answer, int status, String outcome, String code) {
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(status);
    assertWithMessage(answer.toString())
        .that(answer.header("x-apricotstand-outcome"))
        .isEqualTo(outcome);
    assertThat(answer.body()).contains("\"code\":\"" + code + "\"");
  }
}
