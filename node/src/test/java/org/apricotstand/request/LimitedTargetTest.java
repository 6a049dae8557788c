package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.util.Locale;
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
