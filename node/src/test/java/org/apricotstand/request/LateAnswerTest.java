package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a target that answers a request twice, the second time late, on a kept connection. */
class LateAnswerTest extends RequestRouterFixture {

  private static final String FAILURE =
      "HTTP/1.1 500 Oops\r\nX-Id: q2\r\nX-Seal: f\r\nContent-Length: 6\r\n\r\nfailed";

  // Guards against a failure that is passed on as a success: the late answer arrives in part while
  // the connection is idle, and its status is read as that of the answer to the next request.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "H",
        "HTTP/1.1 2",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Se",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e\r",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e\r\n"
      })
  void aPartOfALateAnswerOnAnIdleConnectionIsNotJoinedToTheNextAnswer(String part)
      throws Exception {
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : FAILURE);
          if (number == 1) {
            group.schedule(() -> writeQuietly(out, part), 100, TimeUnit.MILLISECONDS);
          }
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    Thread.sleep(300);
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 500 ");
  }

  // Guards against the same when the part arrives after the next request was sent.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "H",
        "HTTP/1.1 200 ",
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX-Se",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e\r",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e\r\n",
        "HTTP/1.1 200 OK\r\nX-Seal: 3e\r\nContent-Length: 1"
      })
  void aPartOfALateAnswerBeforeTheNextAnswerIsNotJoinedToIt(String part) throws Exception {
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : part + FAILURE);
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against a head that bears the ids or signatures of two answers.
  @ParameterizedTest
  @ValueSource(strings = {"X-Id: q1", "X-Seal: 3e"})
  void aHeadOfTwoAnswersIsNotPassedOn(String extraLine) throws Exception {
    String answer = ok("q2", "second").replace("\r\nContent", "\r\n" + extraLine + "\r\nContent");
    serveOnce(always(answer, true));
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against the answer to another request: without an id, a late answer on a kept connection
  // can't be told from the current one.
  @Test
  void anAnswerWithoutIdOnAKeptConnectionIsNotPassedOn() throws Exception {
    String withoutId = ok("q1", "first").replace("X-Id: q1\r\n", "");
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : withoutId + FAILURE);
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against failing every second request of a target that echoes no id: its connections are
  // kept, and the next answer on them can't be told from a late one.
  @Test
  void aTargetThatEchoesNoIdGetsANewConnectionForEachRequest() throws Exception {
    serveOnce(always(ok("q1", "done").replace("X-Id: q1\r\n", ""), true));
    assertThat(callWithId("q1")).endsWith("done");
    assertThat(callWithId("q2")).endsWith("done");
    assertThat(callWithId("q3")).endsWith("done");
  }

  // Guards against connections that pile up: those of requests without id are used for no other
  // such request, and the target accepts a limited number.
  @Test
  void theConnectionOfARequestWithoutIdIsClosedAfterItsAnswer() throws Exception {
    serveOnce(always(ok("q1", "done").replace("X-Id: q1\r\n", ""), true));
    sendRaw("GET /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(callWithId("q1")).endsWith("done");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
  }

  // Guards against the report "not run" about a request that the target runs: the late rejection of
  // another request bears no id.
  @Test
  void aRejectionWithoutIdOnAKeptConnectionLeavesTheOutcomeUnknown() throws Exception {
    String rejection = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : rejection);
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against the answer to another request: a request without an id can't be told from
  // another one, so that a late answer on a kept connection passes for its own.
  @Test
  void aRequestWithoutIdIsNotSentOnAKeptConnection() throws Exception {
    serveOnce(
        (id, number, out) -> {
          String own = ok("q1", number + "").replace("X-Id: q1\r\n", "");
          write(out, id.isEmpty() && number > 1 ? own : ok(id, "first"));
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    sendRaw("GET /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
  }

  // Guards against bytes that follow an answer in the same read and are decoded after the next
  // request was sent: the caller's next request is already there when the answer ends.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nX-Seal: 3e\r\n"})
  void bytesAfterAnAnswerAreNotReadAsTheAnswerToAPipelinedRequest(String part) throws Exception {
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") + part : FAILURE);
          return true;
        });
    String first = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\n\r\n";
    String second = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Id: q2\r\nConnection: close\r\n\r\n";
    String answers = sendRaw(first + second);
    assertThat(answers).contains("HTTP/1.1 500 Oops");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(2);
  }

  // Guards against a late answer that is cut inside its body and takes the head of the next answer
  // for the rest of it.
  @Test
  void aLateAnswerThatIsCutInsideItsBodyDoesNotCompleteTheNextRequest() throws Exception {
    String cut = ok("q1", "x".repeat(30)).replace("x".repeat(30), "x");
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : cut + FAILURE);
          return number == 1;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against a late answer whose body, without length, takes in the next answer.
  @Test
  void aLateAnswerWithoutLengthDoesNotCompleteTheNextRequest() throws Exception {
    String unframed = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n\r\nfirst";
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : unframed + FAILURE);
          return number == 1;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against dropping a good answer because a whole late answer came before it.
  @Test
  void theAnswerBehindAWholeLateAnswerIsPassedOn() throws Exception {
    serveOnce(
        (id, number, out) -> {
          write(out, number == 1 ? ok(id, "first") : ok("q1", "first") + FAILURE);
          return true;
        });
    assertThat(callWithId("q1")).endsWith("first");
    assertThat(callWithId("q2")).startsWith("HTTP/1.1 500 ");
  }

  // Guards against refusing an answer whose status line has no reason.
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 201", "HTTP/1.1 201 ", "HTTP/1.0 201 See HTTP/1.1"})
  void anAnswerWithAnyReasonIsPassedOn(String statusLine) throws Exception {
    serveOnce(always(ok("q1", "made").replace("HTTP/1.1 200 OK", statusLine), true));
    assertThat(callWithId("q1")).startsWith("HTTP/1.1 201 ");
  }

  // Guards against new connections for every request.
  @Test
  void aConnectionIsKeptAfterOneWholeAnswer() throws Exception {
    serveOnce(ANSWERS_DONE);
    assertThat(callWithId("q1")).endsWith("done");
    assertThat(callWithId("q2")).endsWith("done");
    assertThat(targets.getFirst().connectionCount()).isEqualTo(1);
  }

  private void serveOnce(ScriptedTarget.Script script) throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", script));
  }

  private String callWithId(String id) throws IOException {
    return sendRaw(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: "
            + id
            + "\r\nX-Deadline: 2000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
  }

  private static void writeQuietly(OutputStream out, String text) {
    try {
      write(out, text);
    } catch (IOException e) {
      // The connection was closed, as it should be.
    }
  }
}
