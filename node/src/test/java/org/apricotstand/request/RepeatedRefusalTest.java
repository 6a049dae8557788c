package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets that write the refusal of an earlier request once more on a kept connection. */
class RepeatedRefusalTest extends RequestRouterFixture {

  private static final String END = "Content-Length: 0\r\n\r\n";

  private String callWithId(String id) throws IOException {
    return sendRaw(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: "
            + id
            + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
  }

  /** Serves an order, then another one before whose answer the target writes a refusal. */
  private String answerBehind(String refusal) throws IOException {
    ScriptedTarget.Script script =
        (id, number, out) -> {
          write(out, (id.equals("q2") ? refusal : "") + ok(id, "done " + id));
          return true;
        };
    serve(RequestKind.NON_IDEMPOTENT, 3, false, target("t1", script));
    assertThat(callWithId("q1")).endsWith("done q1");
    String answer = callWithId("q2");
    assertThat(countHeads()).isEqualTo(2);
    return answer;
  }

  // Guards against taking the repeated refusal of an earlier request for that of the next one.
  @ParameterizedTest
  @ValueSource(strings = {"421 Other\r\n", "503 Busy\r\nX-Not-Executed: 1\r\n", "429 Slow\r\n"})
  void aRepeatedRefusalOfAnotherRequestIsDropped(String refusal) throws IOException {
    assertThat(answerBehind("HTTP/1.1 " + refusal + "X-Id: q1\r\n" + END)).endsWith("done q2");
  }

  // Guards against a refusal that is repeated on the connection on which the request was refused:
  // the next request would be taken as not run while its target runs it.
  @Test
  void aConnectionIsNotUsedAgainAfterARefusal() throws IOException {
    String refusal = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + END;
    ScriptedTarget.Script script =
        (id, number, out) -> {
          write(out, number == 1 ? refusal + refusal : ok(id, "done"));
          return true;
        };
    serve(RequestKind.NON_IDEMPOTENT, 3, false, target("t1", script));
    assertThat(callWithId("q1")).startsWith("HTTP/1.1 503 ");
    assertThat(callWithId("q1")).endsWith("done");
    assertThat(countHeads()).isEqualTo(2);
  }

  // Guards against an order that runs at a second target, or is told "not run", because a refusal
  // without request id passes for the answer to it.
  @ParameterizedTest
  @ValueSource(strings = {"421 Other\r\n", "503 Busy\r\nX-Not-Executed: 1\r\n", "429 Slow\r\n"})
  void aRefusalWithoutIdOnAKeptConnectionDoesNotSayThatAnOrderHasNotRun(String refusal)
      throws IOException {
    String answer = answerBehind("HTTP/1.1 " + refusal + END);
    assertThat(answer.contains("HTTP/1.1 502 ") || answer.endsWith("done q2")).isTrue();
  }
}
