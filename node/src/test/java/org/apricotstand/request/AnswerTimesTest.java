package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import org.apricotstand.dispatch.AnswerTimes;
import org.apricotstand.dispatch.TargetEntry;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class AnswerTimesTest extends RequestRouterFixture {

  private static final int CALLS = 5;

  private static final ScriptedTarget.Script FAILS =
      (id, number, out) -> {
        ScriptedTarget.write(
            out, "HTTP/1.1 500 Broken\r\nx-id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        return true;
      };

  private static final ScriptedTarget.Script STREAMS =
      (id, number, out) -> {
        ScriptedTarget.write(
            out,
            "HTTP/1.1 200 OK\r\nX-Id: "
                + id
                + "\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n");
        return false;
      };

  private Map<String, AnswerTimes> callAll(boolean relays, RequestKind kind, TargetEntry... entries)
      throws IOException {
    usesRelays = relays;
    serve(kind, 1, false, entries);
    for (int i = 0; i < CALLS; i++) {
      call("");
    }
    return loadTracker.takeAnswerTimes();
  }

  // Guards against answers that are not counted, so that a slow target is never noticed.
  @Test
  void eachSuccessIsCountedOnce() throws IOException {
    Map<String, AnswerTimes> times =
        callAll(true, RequestKind.IDEMPOTENT, target("t1", ANSWERS_DONE));
    assertThat(times.keySet()).containsExactly("t1");
    assertThat(times.get("t1").count()).isEqualTo(CALLS);
    assertThat(times.get("t1").totalMs()).isAtLeast(0);
    assertThat(loadTracker.takeAnswerTimes()).isEmpty();
  }

  // Guards against streams whose time depends on their length: only the first byte counts, once.
  @Test
  void eachStreamIsCountedOnce() throws IOException {
    Map<String, AnswerTimes> times = callAll(true, RequestKind.STREAM, target("t1", STREAMS));
    assertThat(times.get("t1").count()).isEqualTo(CALLS);
  }

  // Guards against a target that seems fast because it fails at once.
  @Test
  void failuresAreNotCounted() throws IOException {
    assertThat(callAll(true, RequestKind.IDEMPOTENT, target("t1", FAILS))).isEmpty();
  }

  // Guards against reports that grow in small fleets, where nobody uses the times.
  @Test
  void nothingIsCountedWithoutRelays() throws IOException {
    assertThat(callAll(false, RequestKind.IDEMPOTENT, target("t1", ANSWERS_DONE))).isEmpty();
  }

  // Guards against a slowness that is learnt but not used by the choice.
  @Test
  void aSlowTargetGetsLess() throws IOException {
    slowness = Map.of("t1", 1_000.0);
    callAll(true, RequestKind.IDEMPOTENT, target("t1", ANSWERS_DONE), target("t2", ANSWERS_DONE));
    assertThat(targets.get(1).heads()).hasSize(CALLS);
  }
}
