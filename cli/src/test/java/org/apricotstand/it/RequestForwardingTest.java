package org.apricotstand.it;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against answers that are truncated, or come from another adapter version, when a request
 * arrives at an instance that does not own the engine.
 */
final class RequestForwardingTest {

  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      policy: {stallWeight: 1, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 30000}
      adapters:
        - {name: letters, model: base, versions: [v1, v2], route: {v2: 100}}
        - {name: summaries, model: base, versions: [v1]}
      """;

  private static ProcessCluster cluster;

  @BeforeAll
  static void startCluster() throws IOException {
    cluster = new ProcessCluster();
    cluster.startPlatform("--load-ms", "50", "--loads-per-second", "20");
    cluster.startEngine("engine-1", "a", 2, 8, "--step-ms", "5");
    // Only instances in the failure domain of an engine can own it, so entry-2 forwards to entry-1.
    cluster.startEntries(Map.of("entry-1", "a", "entry-2", "b"));
    cluster.apply(DECLARATIONS);
    cluster.awaitServing("entry-1", "letters");
    cluster.awaitServing("entry-2", "letters");
  }

  @AfterAll
  static void stopCluster() throws IOException {
    cluster.close();
  }

  @Test
  void streamedAnswerArrivesCompleteOverPeerLink() {
    Answer answer = cluster.complete("entry-2", "letters", true);
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.header("x-adapter-version")).isEqualTo("letters@v2");
    assertThat(answer.body()).contains("letters@v2 token 15. ");
    assertThat(answer.body()).endsWith("data: [DONE]\n\n");
    assertThat(cluster.proxy(Link.peer("entry-2", "entry-1")).acceptedCount()).isAtLeast(1);
  }

  @Test
  void unstreamedAnswerArrivesCompleteOverPeerLink() {
    Answer answer = cluster.complete("entry-2", "letters@v1", false);
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.isComplete()).isTrue();
    assertThat(answer.header("x-adapter-version")).isEqualTo("letters@v1");
    assertThat(answer.body()).contains("letters@v1 token 15. ");
  }

  @Test
  void ownerItselfAnswers() {
    Answer answer = cluster.complete("entry-1", "summaries", false);
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
    assertThat(answer.header("x-adapter-version")).isEqualTo("summaries@v1");
  }

  @Test
  void unknownModelIsRefusedAsNotRun() {
    Answer answer = cluster.complete("entry-2", "letters@v9", false);
    assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(404);
    assertThat(answer.header("x-apricotstand-outcome")).isEqualTo("not_run");
  }
}
