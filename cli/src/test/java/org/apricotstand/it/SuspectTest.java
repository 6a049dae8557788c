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
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against a prompt that crashes one engine after the other, against wrong outcomes of the
 * requests that run beside it, and against output of a lost attempt in the answer to the caller.
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
    // Both instances must know the owners of the engines before the tests start.
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
  void onePromptCrashesAtMostTwoEngines() {
    List<CompletableFuture<Answer>> concurrentAnswers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String prompt = "neighbour " + i;
      concurrentAnswers.add(
          CompletableFuture.supplyAsync(() -> complete("entry-1", "letters", prompt)));
    }
    // The number of attempts before the second crash depends on how soon the owner learns of the
    // first one, so the caller retries until its prompt is refused as a suspect.
    AtomicInteger attempts = new AtomicInteger();
    Await.until("crashing prompt is refused", () -> sendCrashingPrompt(attempts.getAndIncrement()));
    assertThat(crashCount()).isEqualTo(2);
    for (int i = 0; i < 10; i++) {
      assertThat(sendCrashingPrompt(attempts.getAndIncrement())).isTrue();
    }
    assertThat(crashCount()).isEqualTo(2);
    for (CompletableFuture<Answer> concurrentAnswer : concurrentAnswers) {
      Answer answer = concurrentAnswer.join();
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
    Await.until(
        "request has started at an engine",
        () -> ENGINES.stream().anyMatch(SuspectTest::hasStartedSummary));
    String firstEngine =
        ENGINES.stream().filter(SuspectTest::hasStartedSummary).findFirst().orElseThrow();
    cluster.proxy(Link.toTarget(firstEngine)).resetConnections();
    Answer retriedAnswer = answer.join();
    assertWithMessage(retriedAnswer.toString()).that(retriedAnswer.status()).isEqualTo(200);
    assertThat(retriedAnswer.body()).contains("summaries@v1 token 15. ");
    assertThat(ENGINES.stream().filter(SuspectTest::hasStartedSummary).count()).isEqualTo(2);
  }

  /**
   * Sends a prompt that crashes the engine on which it runs, and checks that the outcome in the
   * answer agrees with its status.
   *
   * @param attempt number of the attempt; attempts alternate between the two instances
   * @return whether the prompt was refused as a suspect
   */
  private static boolean sendCrashingPrompt(int attempt) {
    Answer answer = complete("entry-" + (1 + attempt % 2), "letters", "BOOM");
    assertWithMessage(answer.toString()).that(answer.status()).isAnyOf(429, 502, 503);
    assertWithMessage(answer.toString())
        .that(answer.header("x-apricotstand-outcome"))
        .isEqualTo(answer.status() == 502 ? "unknown" : "not_run");
    return answer.body().contains("suspect_refused");
  }

  private static boolean hasStartedSummary(String engine) {
    return readEvents(engine)
        .lines()
        .anyMatch(line -> line.contains("\"STARTED\"") && line.contains("summaries@v1"));
  }

  private static long crashCount() {
    return ENGINES.stream()
        .flatMap(engine -> readEvents(engine).lines())
        .filter(line -> line.contains("\"CRASH\""))
        .count();
  }

  /** Returns the events of an engine; one that has crashed answers only after its cold start. */
  private static String readEvents(String engine) {
    AtomicReference<Answer> lastAnswer = new AtomicReference<>();
    Await.until(
        "events of " + engine,
        () -> {
          lastAnswer.set(cluster.caller().get(cluster.directAddress(engine), "/events"));
          return lastAnswer.get().status() == 200;
        });
    return lastAnswer.get().body();
  }

  private static Answer complete(String entry, String model, String prompt) {
    String body = "{\"model\":\"%s\",\"prompt\":\"%s\"}".formatted(model, prompt);
    return cluster
        .caller()
        .post(cluster.callerAddress(entry), "/v1/completions", body, Map.of("x-caller", "clerk"));
  }
}
