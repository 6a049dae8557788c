package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.ok;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

/** Requests of an instance whose settings do not turn hedging on. */
class HedgingOffTest extends RequestRouterFixture {

  private static final long LATE_MS = 500;

  // Guards against hedges although the operator has not asked for them.
  @Test
  void aLateRequestIsSentOnce() throws IOException {
    ScriptedTarget.Script late =
        (id, number, out) -> {
          try {
            Thread.sleep(number > 100 ? LATE_MS : 0);
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
          write(out, ok(id, "done"));
          return true;
        };
    serve(RequestKind.IDEMPOTENT, 3, false, target("t1", late), target("t2", ANSWERS_DONE));
    for (int i = 0; i < 101; i++) {
      assertThat(call("")).endsWith("done");
    }
    assertThat(router.hedging().isPresent()).isFalse();
    assertThat(countHeads()).isEqualTo(101);
  }
}
