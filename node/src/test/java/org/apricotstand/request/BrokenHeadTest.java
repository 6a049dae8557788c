package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets that close the connection inside or right behind the head of their answer. */
class BrokenHeadTest extends RequestRouterFixture {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\n";

  private String answerTo(RequestKind kind, String bytes) throws IOException {
    serve(kind, 1, false, target("t1", always(bytes, false)));
    return call("");
  }

  // Guards against a success with an empty body in place of an answer whose head broke off.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 2",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r",
        "HTTP/1.1 200 OK\r\n",
        HEAD,
        HEAD + "Content-Length:",
        HEAD + "Content-Length:\r\n",
        HEAD + "Content-Length: 4",
        HEAD + "Content-Length: 4\r\n",
        HEAD + "Content-Length: 4\r\n\r",
        HEAD + "Transfer-Encoding: chun",
        HEAD + "Transfer-Encoding: chunked\r\n"
      })
  void anAnswerWhoseHeadBreaksOffIsUnknown(String bytes) throws IOException {
    assertThat(answerTo(RequestKind.NON_IDEMPOTENT, bytes)).startsWith("HTTP/1.1 502 ");
    assertThat(answerTo(RequestKind.STREAM, bytes)).startsWith("HTTP/1.1 502 ");
  }

  // Guards against an answer that callers get with a status that is none, as a target in trouble
  // sends it.
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999"})
  void anAnswerWhoseStatusIsNoneIsUnknown(String status) throws IOException {
    String bytes =
        HEAD.replace("200", status)
            + "Content-Type: text/event-stream\r\nContent-Length: 4\r\n\r\nwhat";
    assertThat(answerTo(RequestKind.NON_IDEMPOTENT, bytes)).startsWith("HTTP/1.1 502 ");
    assertThat(answerTo(RequestKind.STREAM, bytes)).startsWith("HTTP/1.1 502 ");
  }

  // Guards against reading a length without value as an empty body.
  @ParameterizedTest
  @EnumSource(
      value = RequestKind.class,
      names = {"NON_IDEMPOTENT", "STREAM"})
  void aLengthWithoutValueIsNoEmptyBody(RequestKind kind) throws IOException {
    assertThat(answerTo(kind, HEAD + "Content-Length:\r\n\r\n")).startsWith("HTTP/1.1 502 ");
    assertThat(answerTo(kind, HEAD + "Content-Length: \r\n\r\nhalf")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against a whole empty success made of a head that lost its length and a close.
  @Test
  void aCloseRightBehindAHeadWithoutLengthIsNoEmptyBody() throws IOException {
    assertThat(answerTo(RequestKind.NON_IDEMPOTENT, HEAD + "\r\n")).startsWith("HTTP/1.1 502 ");
  }

  // Guards against failing answers that are empty by their own statement.
  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 204 No Content\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"})
  void anAnswerThatStatesItIsEmptyIsPassedOn(String head) throws IOException {
    String answer = answerTo(RequestKind.NON_IDEMPOTENT, head + "X-Id: q1\r\nX-Seal: s\r\n\r\n");
    assertThat(answer).startsWith(head.substring(0, 12));
  }

  // Guards against a request that crashes targets and is sent again and again, since a crash inside
  // the head of an answer was taken for an answer that is no HTTP.
  @Test
  void aTargetThatCrashesInsideTheHeadOfItsAnswerHasCrashed() throws IOException {
    ScriptedTarget.Script crashes =
        (id, number, out) -> {
          ScriptedTarget.write(out, "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Se");
          targets.getFirst().close();
          return false;
        };
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", crashes));
    assertThat(call("")).startsWith("HTTP/1.1 502 ");
    awaitFleetCall();
    assertThat(fleetCalls.getFirst()).startsWith("crashed ");
  }
}
