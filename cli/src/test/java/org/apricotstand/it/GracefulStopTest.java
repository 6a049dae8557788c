package org.apricotstand.it;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.standin.fault.Direction;
import org.apricotstand.standin.process.Await;
import org.junit.jupiter.api.Test;

/** Guards against a graceful stop that cuts off a request in progress. */
final class GracefulStopTest {

  private static final String DECLARATIONS =
      """
      models: [{name: base}]
      policy: {stallWeight: 1, loadsPerSecond: 20, loadsInFlight: 8, requestTimeoutMs: 30000}
      adapters:
        - {name: letters, model: base, versions: [v1]}
      """;

  @Test
  void streamInProgressCompletesAfterStopRequest() throws IOException {
    try (ProcessCluster cluster = new ProcessCluster()) {
      cluster.startPlatform("--load-ms", "50", "--loads-per-second", "20");
      cluster.startEngine("engine-1", "a", 2, 8, "--step-ms", "20");
      cluster.startEntries(Map.of("entry-1", "a"));
      cluster.apply(DECLARATIONS);
      cluster.awaitServing("entry-1", "letters");
      String body = "{\"model\":\"letters\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":150}";
      CompletableFuture<Answer> pendingAnswer =
          cluster
              .caller()
              .postAsync(cluster.callerAddress("entry-1"), "/v1/completions", body, Map.of());
      Await.until(
          "the stream has started",
          () ->
              cluster.proxy(Link.callersTo("entry-1")).connections().stream()
                  .anyMatch(connection -> connection.forwardedBytes(Direction.TO_CLIENT) > 3_000));
      cluster.process("entry-1").terminate();
      Answer answer = pendingAnswer.join();
      assertWithMessage(answer.toString()).that(answer.isComplete()).isTrue();
      assertWithMessage(answer.toString()).that(answer.body()).endsWith("data: [DONE]\n\n");
      cluster.process("entry-1").awaitExit();
    }
  }
}
