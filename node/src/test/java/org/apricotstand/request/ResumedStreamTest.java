package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.util.Locale;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that broke off at one target and are continued by the answer of another one. */
class ResumedStreamTest extends RequestRouterFixture {

  private static final String SIGNED = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n";
  private static final String EVENTS = SIGNED + "Content-Type: text/event-stream\r\n";
  private static final String CHUNKED = EVENTS + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final String BROKEN = CHUNKED + chunk(FIRST_EVENTS + "id: 3\nda");

  /** Sends one request whose first answer is broken off, and whose next one is as given. */
  private String resume(String broken, String next) throws IOException {
    ScriptedTarget.Script script =
        (id, number, out) -> {
          write(out, countHeads() == 1 ? broken : next);
          return false;
        };
    serve(RequestKind.STREAM, 2, true, target("t1", script), target("t2", script));
    return call("");
  }

  private static void assertBrokenOff(String answer) {
    assertThat(answer).contains(FIRST_EVENTS);
    assertThat(answer.split("HTTP/1.1", -1)).hasLength(2);
    assertThat(answer.split("id: 1\n", -1)).hasLength(2);
    assertThat(answer).doesNotContain("oops");
    assertThat(answer).doesNotContain(LAST_CHUNK);
  }

  // Guards against an error's head or text in the middle of a stream, and a last chunk behind it.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "400 Bad\r\n",
        "404 No\r\nX-Seal: s\r\n",
        "421 Other\r\n",
        "500 Oops\r\n",
        "503 Busy\r\n",
        "503 Busy\r\nX-Not-Executed: 1\r\n",
        "302 Found\r\nLocation: /other\r\n",
        "206 Part\r\nX-Seal: s\r\n",
        "200 OK\r\n",
        "200 OK\r\nContent-Type: text/event-stream\r\n"
      })
  void anErrorIsNotPartOfTheStreamThatItShouldContinue(String statusAndHeaders) throws IOException {
    String next = "HTTP/1.1 " + statusAndHeaders + "X-Id: q1\r\nContent-Length: 6\r\n\r\noops\n\n";
    assertBrokenOff(resume(BROKEN, next));
  }

  // Guards against the text of an error, sent as a success of another kind, at the end of a stream.
  @ParameterizedTest
  @ValueSource(strings = {"{\"error\":\"oops\"}", "{\"error\":\"oops\"}\n\n", "id: 3\n\noops"})
  void aSuccessOfAnotherKindIsNotPartOfTheStream(String body) throws IOException {
    assertBrokenOff(
        resume(
            BROKEN,
            SIGNED
                + "Content-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body));
  }

  // Guards against a stream that ends as complete because the next target sent nothing more.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\n: \n\r\n2\r\n\n\n\r\n0\r\n\r\n",
        "\r\n"
      })
  void aContinuationWithoutEventsDoesNotCompleteTheStream(String framing) throws IOException {
    assertBrokenOff(resume(BROKEN, EVENTS + framing));
  }

  // Guards against events that come twice because the next target starts anew, are missing because
  // it starts too late, and texts of errors among them.
  @ParameterizedTest
  @ValueSource(
      strings = {
        FIRST_EVENTS + "id: 3\ndata: c\n\n",
        "id: 2\ndata: b\n\nid: 3\ndata: c\n\n",
        "id: 5\ndata: e\n\n",
        "data: oops\n\n",
        "{\"error\":\"oops\"}\n\n",
        "id: 3\ndata: c\n\ndata: oops\n\n",
        "id: 3\ndata: c\n\n{\"error\":\"oops\"}",
        "id: 3\ndata: c\n\nid: 3\ndata: c\n\n",
        "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops",
        "id: 3\ndata: c\n\nHTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"
      })
  void eventsThatDoNotContinueTheStreamAreNotPassedOn(String events) throws IOException {
    assertBrokenOff(resume(BROKEN, CHUNKED + chunk(events) + LAST_CHUNK));
  }

  // Guards against a second run joined to events without ids, behind which no target can go on.
  @Test
  void aStreamWithoutIdsIsNotResumed() throws IOException {
    String answer =
        resume(
            CHUNKED + chunk("data: a\n\n"), CHUNKED + chunk("data: a\n\ndata: b\n\n") + LAST_CHUNK);
    assertThat(answer).contains("data: a\n\n");
    assertThat(answer).doesNotContain("data: b");
    assertThat(answer).doesNotContain(LAST_CHUNK);
    assertThat(countHeads()).isEqualTo(1);
  }

  // Guards against a length that was promised for the first answer and is not that of the stream:
  // the caller would wait for more bytes or read bytes behind the answer.
  @ParameterizedTest
  @ValueSource(strings = {"id: 3\ndata: c\n\n", "id: 3\ndata: c\n\nid: 4\ndata: long event\n\n"})
  void aResumedStreamDoesNotKeepTheLengthOfItsFirstAnswer(String rest) throws IOException {
    String broken = EVENTS + "Content-Length: 60\r\n\r\n" + FIRST_EVENTS;
    String answer = resume(broken, CHUNKED + chunk(rest) + LAST_CHUNK);
    assertThat(answer).contains(rest);
    assertThat(answer.toLowerCase(Locale.ROOT)).doesNotContain("content-length: 60");
    assertThat(answer).endsWith(LAST_CHUNK);
  }

  // Guards against refusing continuations that differ only in their framing.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 15\r\n\r\nid: 3\ndata: c\n\n",
        "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n",
        "\r\nid: 3\ndata: c\n\n"
      })
  void aContinuationOfAnyFramingCompletesTheStream(String framedRest) throws IOException {
    String answer = resume(BROKEN, EVENTS + framedRest);
    assertThat(answer).contains("id: 3\ndata: c\n\n");
    assertThat(answer).endsWith(LAST_CHUNK);
  }

  // Guards against the head of an error in the body of a stream that was not resumed at all.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void theHeadOfAnErrorInsideABodyIsNotPassedOn(boolean resumable) throws IOException {
    String body = FIRST_EVENTS + "id: 3\ndaHTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops\n\n";
    ScriptedTarget.Script script =
        always(CHUNKED + chunk(FIRST_EVENTS) + chunk(body.substring(FIRST_EVENTS.length())), false);
    serve(RequestKind.STREAM, 1, resumable, target("t1", script));
    assertBrokenOff(call(""));
  }
}
