package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.dispatch.TargetLoad;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that get a second attempt while the first one is late. */
class HedgedRequestTest extends RequestRouterFixture {

  private static final String FAILED =
      "HTTP/1.1 500 Oops\r\nX-Id: q1\r\nContent-Length: 6\r\n\r\nfailed";
  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Busy\r\nX-Id: q1\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy";
  private static final String EVENTS =
      "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String LAST_EVENT = "id: 2\ndata: b\n\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private static final long USUAL_MS = 50;

  /** Enough for the average to settle and for the window of samples to hold nothing older. */
  private static final int SAMPLES = 1_000;

  /** Much longer than the delay of a hedge, and shorter than the time-out of an attempt. */
  private static final long LATE_MS = 500;

  private final CountDownLatch released = new CountDownLatch(1);
  private final AtomicInteger closedConnections = new AtomicInteger();

  HedgedRequestTest() {
    maxHedgeShare = 1;
  }

  @BeforeEach
  void learnUsualTime() throws Exception {
    learnUsualTime(USUAL_MS);
  }

  /** Replaces what was learned before by one time to the first byte. */
  private void learnUsualTime(long usualMs) throws Exception {
    group.submit(() -> recordUsualTime(usualMs)).get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void recordUsualTime(long usualMs) {
    for (int i = 0; i < SAMPLES; i++) {
      router.hedging().orElseThrow().delays().recordFirstByte("r", "t1", usualMs);
    }
  }

  /** Sends bytes some time after both targets have the request. */
  private ScriptedTarget.Script afterBoth(long delayMs, String answer, boolean staysOpen) {
    return (id, number, out) -> {
      awaitHeads(2);
      sleep(delayMs);
      write(out, answer);
      return staysOpen;
    };
  }

  private static void sleep(long ms) throws IOException {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private long count(String metric) {
    return router.metrics().counter(metric).getCount();
  }

  private void assertHedges(int sent, int won) {
    assertThat(count("request.hedge.sent")).isEqualTo(sent);
    assertThat(count("request.hedge.won")).isEqualTo(won);
  }

  private static void assertOneAnswer(String received, String body) {
    assertThat(received).startsWith("HTTP/1.1 200 ");
    assertThat(received).endsWith("\r\n\r\n" + body);
    assertThat(received.split("HTTP/1.1", -1)).hasLength(2);
  }

  // Guards against a request that waits for a silent target, and against the late answer of that
  // target, which arrives after its attempt was cancelled.
  @Test
  void theHedgeAnswersAndTheLateAnswerIsDropped() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", afterBoth(LATE_MS, ok("q1", "late"), true)),
        target("t2", ANSWERS_DONE));
    assertOneAnswer(call(""), "done");
    assertHedges(1, 1);
    assertThat(countHeads()).isEqualTo(2);
    assertThat(call("")).endsWith("done");
  }

  // Guards against bytes of the hedge behind the answer of the first target.
  @Test
  void theFirstTargetAnswersAndTheHedgeIsCancelled() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", afterBoth(20, ok("q1", "first"), true)),
        target("t2", afterBoth(LATE_MS, ok("q1", "late"), true)));
    assertOneAnswer(call(""), "first");
    assertHedges(1, 0);
  }

  // Guards against a race that a part of an answer has won, whose rest the loser then sends.
  @Test
  void theLoserAddsNothingToABufferedAnswerInProgress() throws IOException {
    ScriptedTarget.Script inParts =
        (id, number, out) -> {
          String answer = ok(id, "first");
          awaitHeads(2);
          write(out, answer.substring(0, answer.length() - 3));
          sleep(LATE_MS);
          write(out, answer.substring(answer.length() - 3));
          return true;
        };
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", inParts),
        target("t2", afterBoth(LATE_MS / 2, ok("q1", "other"), true)));
    assertOneAnswer(call(""), "first");
    assertHedges(1, 0);
  }

  // Guards against a request that ends although its retries are not used up.
  @Test
  void afterTwoFailuresTheRequestIsRetried() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", afterBoth(20, FAILED, true)),
        target("t2", afterBoth(20, FAILED, true)),
        target("t3", ANSWERS_DONE));
    assertOneAnswer(call(""), "done");
    assertHedges(1, 0);
    assertThat(countHeads()).isEqualTo(3);
  }

  // Guards against more attempts than the route allows when both fail.
  @Test
  void afterTwoFailuresAndNoAttemptLeftTheFailureIsPassedOn() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        2,
        false,
        target("t1", afterBoth(20, FAILED, true)),
        target("t2", afterBoth(20, FAILED, true)),
        target("t3", ANSWERS_DONE));
    assertThat(call("")).startsWith("HTTP/1.1 500 ");
    assertThat(countHeads()).isEqualTo(2);
  }

  // Guards against a request that fails with its first attempt although the hedge is running.
  @Test
  void theHedgeGoesOnWhenTheFirstTargetClosesItsConnection() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", afterBoth(20, "", false)),
        target("t2", afterBoth(LATE_MS, ok("q1", "done"), true)));
    assertOneAnswer(call(""), "done");
    assertThat(countHeads()).isEqualTo(2);
  }

  // Guards against two silent attempts that keep a request from the targets that are left.
  @Test
  void twoSilentAttemptsAreFollowedByARetry() throws IOException {
    ScriptedTarget.Script silent =
        (id, number, out) -> {
          awaitRelease();
          return false;
        };
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", silent),
        target("t2", silent),
        target("t3", ANSWERS_DONE));
    assertOneAnswer(call(""), "done");
    released.countDown();
    assertHedges(1, 0);
    assertThat(countHeads()).isEqualTo(3);
  }

  // Guards against a stream that is resumed at the target whose lateness the hedge has answered.
  @Test
  void aStreamOfTheHedgeIsResumedElsewhere() throws IOException {
    ScriptedTarget.Script silent =
        (id, number, out) -> {
          awaitRelease();
          return false;
        };
    serve(
        RequestKind.STREAM,
        4,
        true,
        target("t1", silent),
        target("t2", always(EVENTS + chunk(FIRST_EVENT), false)),
        target("t3", always(EVENTS + chunk(LAST_EVENT) + LAST_CHUNK, true)));
    String received = call("");
    released.countDown();
    assertThat(received.split(FIRST_EVENT, -1)).hasLength(2);
    assertThat(received.split(LAST_EVENT, -1)).hasLength(2);
    assertThat(received).endsWith(LAST_CHUNK);
    assertHedges(1, 1);
    assertThat(countHeads()).isEqualTo(3);
  }

  // Guards against a refusal of the hedge that ends or repeats the request.
  @Test
  void theFirstAttemptGoesOnWhenTheHedgeIsNotExecuted() throws IOException {
    serve(
        RequestKind.IDEMPOTENT,
        3,
        false,
        target("t1", afterBoth(LATE_MS, ok("q1", "first"), true)),
        target("t2", always(NOT_EXECUTED, true)),
        target("t3", ANSWERS_DONE));
    assertOneAnswer(call(""), "first");
    assertHedges(1, 0);
    assertThat(countHeads()).isEqualTo(2);
  }

  // Guards against a hedge that cannot connect and takes the first attempt with it.
  @Test
  void theFirstAttemptGoesOnWhenTheHedgeCannotConnect() throws IOException {
    TargetEntry unreachable = target("t2", ANSWERS_DONE);
    targets.getLast().close();
    ScriptedTarget.Script late =
        (id, number, out) -> {
          sleep(LATE_MS);
          write(out, ok(id, "first"));
          return true;
        };
    serve(RequestKind.IDEMPOTENT, 3, false, target("t1", late), unreachable);
    assertOneAnswer(call(""), "first");
    assertHedges(1, 0);
  }

  // Guards against attempts that go on, and count as load, for a caller that has left.
  @Test
  void bothAttemptsAreCancelledWhenTheCallerLeaves() throws Exception {
    ScriptedTarget.Script untilClosed =
        (id, number, out) -> {
          awaitRelease();
          writeUntilClosed(out);
          return false;
        };
    serve(RequestKind.IDEMPOTENT, 3, false, target("t1", untilClosed), target("t2", untilClosed));
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      String request = "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      awaitHeads(2);
      assertHedges(1, 0);
    }
    awaitNoLoad();
    released.countDown();
    long endMs = System.currentTimeMillis() + TEST_TIMEOUT_MS;
    while (closedConnections.get() < 2 && System.currentTimeMillis() < endMs) {
      Thread.sleep(10);
    }
    assertThat(closedConnections.get()).isEqualTo(2);
    assertHedges(1, 0);
  }

  private void awaitRelease() throws IOException {
    try {
      released.await(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void writeUntilClosed(OutputStream out) throws IOException {
    try {
      for (int i = 0; i < 500; i++) {
        write(out, "x");
        sleep(10);
      }
    } catch (IOException e) {
      closedConnections.incrementAndGet();
      throw e;
    }
  }

  private void awaitNoLoad() throws Exception {
    long endMs = System.currentTimeMillis() + TEST_TIMEOUT_MS;
    while (!hasNoLoad() && System.currentTimeMillis() < endMs) {
      Thread.sleep(10);
    }
    assertThat(hasNoLoad()).isTrue();
  }

  private boolean hasNoLoad() throws Exception {
    return group
        .submit(
            () ->
                loadTracker.load("t1").equals(TargetLoad.NONE)
                    && loadTracker.load("t2").equals(TargetLoad.NONE))
        .get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static ScriptedTarget.Script lateScript() {
    return (id, number, out) -> {
      sleep(LATE_MS);
      write(out, ok(id, "first"));
      return true;
    };
  }

  // Guards against work that is done twice although the route forbids it.
  @Test
  void aNonIdempotentRequestIsNeverSentTwice() throws IOException {
    serve(
        RequestKind.NON_IDEMPOTENT,
        3,
        true,
        target("t1", lateScript()),
        target("t2", ANSWERS_DONE));
    assertOneAnswer(call(""), "first");
    assertThat(countHeads()).isEqualTo(1);
  }

  // Guards against a hedge at a delay that nothing is known of.
  @Test
  void noHedgeOnARouteWithoutEstimate() throws Exception {
    group
        .submit(() -> router.hedging().orElseThrow().delays().retain(List.of(), List.of()))
        .get(TEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    serve(RequestKind.IDEMPOTENT, 3, false, target("t1", lateScript()), target("t2", ANSWERS_DONE));
    assertOneAnswer(call(""), "first");
    assertThat(countHeads()).isEqualTo(1);
  }

  // Guards against a stream whose events come from both targets.
  @Test
  void aResumableStreamIsHedgedBeforeItsFirstEvent() throws IOException {
    String stream = EVENTS + chunk(FIRST_EVENT) + chunk(LAST_EVENT) + LAST_CHUNK;
    ScriptedTarget.Script inParts =
        (id, number, out) -> {
          write(out, EVENTS + chunk(FIRST_EVENT));
          sleep(LATE_MS);
          write(out, chunk(LAST_EVENT) + LAST_CHUNK);
          return true;
        };
    serve(
        RequestKind.STREAM,
        3,
        true,
        target("t1", afterBoth(LATE_MS / 2, stream, true)),
        target("t2", inParts));
    String received = call("");
    assertThat(received.split(FIRST_EVENT, -1)).hasLength(2);
    assertThat(received.split(LAST_EVENT, -1)).hasLength(2);
    assertThat(received).endsWith(LAST_CHUNK);
    assertHedges(1, 1);
  }

  // Guards against a hedge of a stream of which the caller has a part.
  @Test
  void aStreamThatHasBegunIsNotHedged() throws Exception {
    // A head that comes after the delay of a hedge, as on a busy machine, is hedged rightly.
    long usualMs = 2_000;
    learnUsualTime(usualMs);
    ScriptedTarget.Script inParts =
        (id, number, out) -> {
          write(out, EVENTS + chunk(FIRST_EVENT));
          sleep(2 * usualMs);
          write(out, chunk(LAST_EVENT) + LAST_CHUNK);
          return true;
        };
    serve(RequestKind.STREAM, 3, true, target("t1", inParts), target("t2", inParts));
    assertThat(call("")).endsWith(LAST_CHUNK);
    assertThat(countHeads()).isEqualTo(1);
  }

  @Test
  void aStreamThatMayNotBeResumedIsNotHedged() throws IOException {
    ScriptedTarget.Script late =
        (id, number, out) -> {
          sleep(LATE_MS);
          write(out, EVENTS + chunk(FIRST_EVENT) + LAST_CHUNK);
          return true;
        };
    serve(RequestKind.STREAM, 3, false, target("t1", late), target("t2", late));
    assertThat(call("")).endsWith(LAST_CHUNK);
    assertThat(countHeads()).isEqualTo(1);
  }
}
