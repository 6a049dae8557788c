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
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against non-idempotent requests that run twice, or whose outcome is reported wrongly, when
 * processes or links fail. An order is such a request, with its identity in x-order-id.
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
  void resetFaults() throws IOException {
    setFault("{\"slow_ms\":0}");
    cluster.proxy(Link.toPlatform("entry-1")).heal();
    cluster.proxy(Link.toTarget("orders-1")).heal();
    if (!cluster.process("entry-1").isAlive()) {
      restartFirstEntry();
    }
    // After failed calls, the circuit breaker of an instance rejects calls to the store for a
    // while.
    Await.until("entry-1 can use the store", () -> sendOrder("entry-1", "ready").status() == 200);
  }

  private static void restartFirstEntry() throws IOException {
    cluster.restart("entry-1");
    cluster.awaitRevision("entry-1", 1);
  }

  @Test
  void concurrentDuplicatesOnTwoInstancesRunOnceAndGetTheSameAnswer() {
    setFault("{\"slow_ms\":700}");
    List<CompletableFuture<Answer>> duplicates = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      duplicates.add(sendOrderAsync("entry-" + (1 + i % 2), "A-1"));
    }
    for (CompletableFuture<Answer> answer : duplicates) {
      assertAnswered(answer.join(), "A-1");
    }
    assertThat(runCount("A-1")).isEqualTo(1);
  }

  @Test
  void differentBodyWithSameIdentityIsRefusedAsNotRun() {
    assertAnswered(sendOrder("entry-1", "A-2"), "A-2");
    Answer differentBody = postOrder("entry-2", "A-2", "{\"amount\":99}");
    assertOutcome(differentBody, 422, "not_run", "identity_reused");
    assertThat(runCount("A-2")).isEqualTo(1);
  }

  @Test
  void orderRunsOnceWhenResponseToItsClaimInsertIsLost() {
    FaultProxy storeProxy = cluster.proxy(Link.toPlatform("entry-1"));
    storeProxy.setFault(Direction.TO_CLIENT, Fault.resetOnFirstByte());
    CompletableFuture<Answer> answer = sendOrderAsync("entry-1", "A-3");
    Await.until("claim row", () -> readClaimRow("A-3").contains("CLAIMED"));
    assertThat(runCount("A-3")).isEqualTo(0);
    storeProxy.heal();
    assertAnswered(answer.join(), "A-3");
    assertAnswered(sendOrder("entry-2", "A-3"), "A-3");
    assertThat(runCount("A-3")).isEqualTo(1);
  }

  @Test
  void killedClaimHolderLeavesUnknownOutcome() throws IOException {
    setFault("{\"slow_ms\":60000}");
    CompletableFuture<Answer> first = sendOrderAsync("entry-1", "A-4");
    Await.until("order runs or is answered", () -> runCount("A-4") == 1 || first.isDone());
    assertWithMessage("answered before the run: %s", first.getNow(null))
        .that(first.isDone())
        .isFalse();
    CompletableFuture<Answer> duplicate = sendOrderAsync("entry-2", "A-4");
    cluster.process("entry-1").kill();
    assertThat(first.join().status()).isEqualTo(0);
    assertOutcome(duplicate.join(), 502, "unknown", "claim_holder_lost");
    restartFirstEntry();
    assertOutcome(sendOrder("entry-1", "A-4"), 502, "unknown", "claim_holder_lost");
    assertThat(runCount("A-4")).isEqualTo(1);
  }

  @Test
  void storedAnswerIsServedAfterClaimHolderIsKilled() {
    assertAnswered(sendOrder("entry-1", "A-5"), "A-5");
    Await.until("stored answer", () -> readClaimRow("A-5").contains("ANSWERED"));
    cluster.process("entry-1").kill();
    assertAnswered(sendOrder("entry-2", "A-5"), "A-5");
    assertThat(runCount("A-5")).isEqualTo(1);
  }

  @Test
  void unreachableStoreRefusesOrderAsNotRun() {
    FaultProxy storeProxy = cluster.proxy(Link.toPlatform("entry-1"));
    storeProxy.refuseConnections();
    storeProxy.resetConnections();
    Answer refused = sendOrder("entry-1", "A-6");
    assertWithMessage(refused.toString()).that(refused.status()).isEqualTo(503);
    assertThat(refused.header("x-apricotstand-outcome")).isEqualTo("not_run");
    assertThat(runCount("A-6")).isEqualTo(0);
    storeProxy.heal();
    assertAnswered(sendOrder("entry-1", "A-6"), "A-6");
    assertThat(runCount("A-6")).isEqualTo(1);
  }

  @Test
  void unresponsiveStoreRefusesOrderAsNotRun() {
    cluster.proxy(Link.toPlatform("entry-1")).partition();
    assertOutcome(sendOrder("entry-1", "A-7"), 503, "not_run", "claim_store_silent");
    assertThat(runCount("A-7")).isEqualTo(0);
  }

  @Test
  void orderIsNotRetriedAfterServiceCrashesBeforeOrAfterTheRun() {
    setFault("{\"crash_before\":1}");
    assertOutcome(sendOrder("entry-1", "A-8"), 502, "unknown", "no_answer");
    assertOutcome(sendOrder("entry-2", "A-8"), 502, "unknown", "former_outcome_unknown");
    assertThat(runCount("A-8")).isEqualTo(0);
    setFault("{\"crash_after\":1}");
    assertOutcome(sendOrder("entry-1", "A-9"), 502, "unknown", "no_answer");
    assertOutcome(sendOrder("entry-2", "A-9"), 502, "unknown", "former_outcome_unknown");
    assertThat(runCount("A-9")).isEqualTo(1);
  }

  @Test
  void orderThatCouldNotBeSentIsNotRunAndCanBeRetried() {
    FaultProxy serviceProxy = cluster.proxy(Link.toTarget("orders-1"));
    serviceProxy.refuseConnections();
    assertOutcome(sendOrder("entry-1", "A-10"), 503, "not_run", "not_sent");
    assertThat(readClaimRow("A-10")).isEqualTo("{}");
    serviceProxy.acceptConnections();
    assertAnswered(sendOrder("entry-2", "A-10"), "A-10");
    assertThat(runCount("A-10")).isEqualTo(1);
  }

  @Test
  void idempotentRequestGoesToAnotherTarget() {
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

  private static Answer sendOrder(String entry, String identity) {
    return postOrder(entry, identity, "{\"amount\":1}");
  }

  private static Answer postOrder(String entry, String identity, String body) {
    Map<String, String> headers = Map.of("x-order-id", identity);
    return cluster.caller().post(cluster.callerAddress(entry), "/orders", body, headers);
  }

  private static CompletableFuture<Answer> sendOrderAsync(String entry, String identity) {
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

  private static long runCount(String identity) {
    return cluster
        .caller()
        .get(cluster.directAddress("orders-1"), "/events")
        .body()
        .lines()
        .filter(line -> line.contains("\"" + identity + "\""))
        .count();
  }

  private static String readClaimRow(String identity) {
    String path = "/tables/claims/rows/" + ClaimHash.key("orders", identity);
    return cluster.caller().get(cluster.directAddress(ProcessCluster.PLATFORM), path).body();
  }

  private static void assertAnswered(Answer answer, String identity) {
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("{\"identity\":\"" + identity + "\",\"run\":1}");
    assertThat(answer.header("x-apricotstand-outcome")).isEqualTo("answered");
  }

  private static void assertOutcome(Answer answer, int status, String outcome, String code) {
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(status);
    assertWithMessage(answer.toString())
        .that(answer.header("x-apricotstand-outcome"))
        .isEqualTo(outcome);
    assertThat(answer.body()).contains("\"code\":\"" + code + "\"");
  }
}
