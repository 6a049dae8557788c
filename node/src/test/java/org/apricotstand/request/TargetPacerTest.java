package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import org.apricotstand.dispatch.TargetEntry;
import org.junit.jupiter.api.Test;

class TargetPacerTest extends RequestRouterFixture {

  private static final TargetEntry TARGET =
      new TargetEntry("t1", "s", "127.0.0.1", 1, "d", 8, false, 1, Map.of());

  private long nowMs = 1_000;
  private final TargetPacer pacer = new TargetPacer("n", () -> nowMs, new RecordingFleet());

  private static AnswerHead head(int status, String... headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    for (int i = 0; i < headers.length; i += 2) {
      response.headers().set(headers[i], headers[i + 1]);
    }
    return new AnswerHead(response, NAMES);
  }

  // Guards against a limit that only the instance knows to which the target named it.
  @Test
  void tellsTheFleetOfALimitAndOfItsEnd() {
    pacer.onAnswer(TARGET, head(200, "x-seal", "s", "x-limit", "2"), nowMs);
    nowMs += 1_000;
    pacer.onAnswer(TARGET, head(200, "x-seal", "s"), nowMs);
    assertThat(fleetCalls).containsExactly("limit t1#1 2.0", "limit ended t1#1").inOrder();
  }

  // Guards against a failure of a limited target that is taken for the end of its limit.
  @Test
  void aFailureWithoutALimitDoesNotEndIt() {
    pacer.onAnswer(TARGET, head(503, "x-seal", "s", "x-limit", "2"), nowMs);
    pacer.reserve(TARGET);
    nowMs += 100;
    pacer.onAnswer(TARGET, head(500, "x-seal", "s"), nowMs);
    pacer.onAnswer(TARGET, head(200), nowMs);
    assertThat(pacer.delayMs(TARGET).getAsLong()).isGreaterThan(0);
  }

  @Test
  void keepsALimitThatAnotherInstanceReports() {
    pacer.recordLimit("t1#1", 2);
    assertThat(pacer.delayMs(TARGET).getAsLong()).isEqualTo(500);
    pacer.recordLimitEnd("t1#1");
    assertThat(pacer.delayMs(TARGET).getAsLong()).isEqualTo(0);
  }
}
