package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionLimitTest extends RequestRouterFixture {

  private final CountDownLatch answerAllowed = new CountDownLatch(1);

  @AfterEach
  void allowAnswers() {
    answerAllowed.countDown();
  }

  /** Answers when the test allows it. */
  private boolean answerLater(String id, int number, OutputStream out) throws IOException {
    try {
      answerAllowed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    write(out, ok(id, "late"));
    return true;
  }

  private CompletableFuture<String> callInBackground() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return call("");
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  // Guards against a connection beyond the limit of a target, which resets it.
  @Test
  void aRequestBeyondTheLimitIsRefusedAtOnceAsNotRun() throws IOException {
    maxConnections = 2;
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", this::answerLater));
    CompletableFuture<String> first = callInBackground();
    CompletableFuture<String> second = callInBackground();
    awaitHeads(2);
    String refusal = call("");
    assertThat(refusal).startsWith("HTTP/1.1 503 ");
    assertThat(refusal).contains("connection_limit");
    assertThat(refusal.toLowerCase(Locale.ROOT)).contains("retry-after: ");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
    answerAllowed.countDown();
    assertThat(first.join()).endsWith("late");
    assertThat(second.join()).endsWith("late");
    assertThat(call("")).endsWith("late");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
  }

  // Guards against a refusal while another target of the service has room.
  @Test
  void aTargetAtItsLimitIsNotChosen() throws IOException {
    maxConnections = 1;
    int port = target("t1", this::answerLater).port();
    // Runs so many requests that one does not make the other target the cheaper one.
    TargetEntry slow =
        new TargetEntry("t1", "s", "127.0.0.1", port, "d", 10_000, false, 1, Map.of());
    serve(RequestKind.NON_IDEMPOTENT, 1, false, slow);
    CompletableFuture<String> first = callInBackground();
    awaitHeads(1);
    // Is in another domain, so that only the limit speaks for it.
    int otherPort = target("t2", ANSWERS_DONE).port();
    TargetEntry other =
        new TargetEntry("t2", "s", "127.0.0.1", otherPort, "e", 8, false, 1, Map.of());
    serve(RequestKind.NON_IDEMPOTENT, 1, false, slow, other);
    for (int i = 0; i < 3; i++) {
      assertThat(call("")).endsWith("done");
    }
    answerAllowed.countDown();
    assertThat(first.join()).endsWith("late");
  }

  // Guards against idle connections that keep out a request, which needs a new one without an id.
  @Test
  void anIdleConnectionMakesWayForANewOne() throws IOException {
    maxConnections = 1;
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", ANSWERS_DONE));
    assertThat(call("")).endsWith("done");
    String withoutId =
        "POST /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n";
    assertThat(sendRaw(withoutId + "\r\n")).endsWith("done");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
  }
}
