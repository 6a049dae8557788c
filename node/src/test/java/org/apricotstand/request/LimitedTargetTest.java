package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.util.Locale;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class LimitedTargetTest extends RequestRouterFixture {

  private static ScriptedTarget.Script limitedTo(String perSecond) {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nX-Limit: " + perSecond;
    return (id, number, out) -> {
      write(out, head + "\r\nContent-Length: 0\r\n\r\n");
      return true;
    };
  }

  // Guards against refusing what a target takes a moment later.
  @Test
  void aRequestWaitsForItsTurn() throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", limitedTo("20")));
    for (int i = 0; i < 5; i++) {
      assertThat(call("")).startsWith("HTTP/1.1 200 ");
    }
    assertThat(countHeads()).isEqualTo(5);
  }

  private static ScriptedTarget.Script refusing(String retryAfter) {
    String head = "HTTP/1.1 503 Busy\r\nX-Id: q1\r\nX-Not-Executed: 1\r\nRetry-After: ";
    return (id, number, out) -> {
      write(out, head + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
      return true;
    };
  }

  // Guards against requests to a target that has refused one and asked to be left alone.
  @Test
  void aTargetThatNamesATimeIsLeftAloneUntilThen() throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", refusing("60")));
    assertThat(call("")).startsWith("HTTP/1.1 503 ");
    for (int i = 0; i < 5; i++) {
      String answer = call("");
      assertThat(answer).startsWith("HTTP/1.1 503 ");
      assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
    }
    assertThat(countHeads()).isEqualTo(1);
  }

  // Guards against refusing a request whose only target is free again in time.
  @Test
  void aRequestWaitsForTheEndOfAShortPause() throws IOException {
    ScriptedTarget.Script refuses = refusing("0.1");
    ScriptedTarget.Script refusesOnce =
        (id, number, out) ->
            number == 1 ? refuses.answer(id, number, out) : ANSWERS_DONE.answer(id, number, out);
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", refusesOnce));
    assertThat(call("")).startsWith("HTTP/1.1 503 ");
    assertThat(call("")).startsWith("HTTP/1.1 200 ");
  }

  // Guards against requests, among them repeats, to a target that has said that it leaves.
  @Test
  void aLeavingTargetGetsNoFurtherRequest() throws IOException {
    String head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nX-Leaving: 1\r\n";
    ScriptedTarget.Script leaving = always(head + "Content-Length: 0\r\n\r\n", true);
    TargetEntry target = target("t1", leaving);
    serve(RequestKind.IDEMPOTENT, 2, false, target);
    assertThat(call("")).startsWith("HTTP/1.1 200 ");
    assertThat(call("")).startsWith("HTTP/1.1 503 ");
    assertThat(countHeads()).isEqualTo(1);
    serve(RequestKind.IDEMPOTENT, 2, false, target, target("t2", ANSWERS_DONE));
    assertThat(call("")).contains("done");
  }

  // Guards against requests that wait in vain, and against later ones that are late because of
  // them.
  @Test
  void aRequestWithoutATurnInTimeIsRefusedAtOnce() throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", limitedTo("0.2")));
    assertThat(call("")).startsWith("HTTP/1.1 200 ");
    String answer = call("");
    assertThat(answer).startsWith("HTTP/1.1 503 ");
    assertThat(answer).contains("targets_limited");
    assertThat(answer.toLowerCase(Locale.ROOT)).contains("retry-after: ");
    assertThat(countHeads()).isEqualTo(1);
  }
}
