package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.apricotstand.control.ControlThread;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FullTargetTest extends RequestRouterFixture {

  private static final int CALLS = 20;

  private static final ScriptedTarget.Script FULL =
      (id, number, out) -> {
        ScriptedTarget.write(
            out,
            "HTTP/1.1 503 Full\r\nx-id: "
                + id
                + "\r\nx-not-executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
      };

  private void serveOnRelays(RequestKind kind, TargetEntry... entries) {
    usesRelays = true;
    serve(kind, 1, false, entries);
  }

  // Guards against requests that fail because one of their targets was full: it did not run them,
  // so that even a request that may run only once goes to another one.
  @Test
  void aRequestGoesOnFromAFullTarget() throws IOException {
    serveOnRelays(RequestKind.NON_IDEMPOTENT, target("t1", FULL), target("t2", ANSWERS_DONE));
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("")).contains("done");
    }
    assertThat(router.health().penaltyMs("t1", ControlThread.nowMs())).isEqualTo(0.0);
  }

  // Guards against small fleets, whose figures are exact, that are served otherwise than before.
  @Test
  void aFullTargetHasAPenaltyWithoutRelays() throws IOException {
    serve(RequestKind.NON_IDEMPOTENT, 1, false, target("t1", FULL), target("t2", ANSWERS_DONE));
    assertThat(call("")).contains("done");
    assertThat(router.health().penaltyMs("t1", ControlThread.nowMs())).isGreaterThan(0.0);
  }

  // Guards against a choice that is the same for all instances where the figures are old, and
  // against a random one where they are exact.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void idleTargetsShareRequestsOnlyWhereFiguresAreOld(boolean relays) throws IOException {
    usesRelays = relays;
    serve(RequestKind.IDEMPOTENT, 1, false, target("t1", ANSWERS_DONE), target("t2", ANSWERS_DONE));
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("")).contains("done");
    }
    assertThat(!targets.get(1).heads().isEmpty()).isEqualTo(relays);
  }
}
