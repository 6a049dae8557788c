package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class BrokenHeadTest extends RequestRouterFixture {

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
