package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against a prompt that takes down one engine after the other, against neighbours of it that
 * get no truthful ending, and against an answer of a lost attempt that reaches the caller.
 */
final class SuspectTest {

  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      adapters:
        - {name: letters, model: base, versions: [v1]}
        - {name: summaries, model: base, versions: [v1]}
      """;
  private static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");

  private static ProcessCluster cluster;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform("--load-ms", "20", "--loads-per-second", "50", "--load-burst", "10");
    for (String engine : ENGINES) {
      cluster.startEngine(
          engine, "a", 2, 8, "--step-ms", "40", "--cold-start-ms", "300", "--crash-marker", "BOOM");
    }
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "a"));
    cluster.apply(DECLARATIONS);
    // Wait until both instances know the owners.
    for (String entry : List.of("entry-1", "entry-2")) {
      Await.until(
          "first answer of " + entry, () -> complete(entry, "letters", "Hello").status() == 200);
    }
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  @Test
  void atMostTwoEnginesFallToOnePrompt() {
    List<CompletableFuture<Answer>> neighbours = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String prompt = "neighbour " + i;
      neighbours.add(CompletableFuture.supplyAsync(() -> complete("entry-1", "letters", prompt)));
    }
    // How many sendings are turned away before the second crash depends on how soon the owner
    // knows of the first one, so that the caller goes on until it is refused for good.
    AtomicInteger sendings = new AtomicInteger();
    Await.until("the prompt is refused", () -> isRefused(sendings.getAndIncrement()));
    assertThat(crashes()).isEqualTo(2);
    for (int i = 0; i < 10; i++) {
      assertThat(isRefused(sendings.getAndIncrement())).isTrue();
    }
    assertThat(crashes()).isEqualTo(2);
    for (CompletableFuture<Answer> neighbour : neighbours) {
      Answer answer = neighbour.join();
      assertWithMessage(answer.toString()).that(answer.status()).isAnyOf(200, 502, 503);
      if (answer.status() == 200) {
        assertThat(answer.body()).contains("letters@v1 token 15. ");
      }
    }
    for (int i = 0; i < 4; i++) {
      String prompt = "neighbour " + i;
      Await.until(
          prompt + " is answered", () -> complete("entry-2", "letters", prompt).status() == 200);
    }
  }

  @Test
  void lostConnectionToALivingEngineIsRetriedOnAnother() {
    CompletableFuture<Answer> answer =
        CompletableFuture.supplyAsync(() -> complete("entry-1", "summaries", "slow one"));
    Await.until("start", () -> ENGINES.stream().anyMatch(SuspectTest::runsSummary));
    String first = ENGINES.stream().filter(SuspectTest::runsSummary).findFirst().orElseThrow();
    cluster.proxy(Link.toTarget(first)).resetConnections();
    Answer whole = answer.join();
    assertWithMessage(whole.toString()).that(whole.status()).isEqualTo(200);
    assertThat(whole.body()).contains("summaries@v1 token 15. ");
    assertThat(ENGINES.stream().filter(SuspectTest::runsSummary).count()).isEqualTo(2);
  }

  /** Sends the prompt that crashes engines; the answer must be truthful each time. */
  private static boolean isRefused(int sending) {
    Answer answer = complete("entry-" + (1 + sending % 2), "letters", "BOOM");
    assertWithMessage(answer.toString()).that(answer.status()).isAnyOf(429, 502, 503);
    assertWithMessage(answer.toString())
        .that(answer.header("x-apricotstand-outcome"))
        .isEqualTo(answer.status() == 502 ? "unknown" : "not_run");
    return answer.body().contains("suspect_refused");
  }

  private static boolean runsSummary(String engine) {
    return events(engine)
        .lines()
        .anyMatch(line -> line.contains("\"STARTED\"") && line.contains("summaries@v1"));
  }

  private static long crashes() {
    return ENGINES.stream()
        .flatMap(engine -> events(engine).lines())
        .filter(line -> line.contains("\"CRASH\""))
        .count();
  }

  /** Returns what an engine recorded; one that crashed answers only after its cold start. */
  private static String events(String engine) {
    AtomicReference<Answer> last = new AtomicReference<>();
    Await.until(
        "events of " + engine,
        () -> {
          last.set(cluster.caller().get(cluster.directAddress(engine), "/events"));
          return last.get().status() == 200;
        });
    return last.get().body();
  }

  private static Answer complete(String entry, String model, String prompt) {
    String body = "{\"model\":\"%s\",\"prompt\":\"%s\"}".formatted(model, prompt);
    return cluster
        .caller()
        .post(cluster.callerAddress(entry), "/v1/completions", body, Map.of("x-caller", "clerk"));
  }
}
