package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

class StreamEndTest extends RequestRouterFixture {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
  private static final String UNTIL_CLOSE = HEAD + "\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private String stream(String answer) throws IOException {
    serve(RequestKind.STREAM, 1, false, target("t1", always(answer, false)));
    return call("");
  }

  // Guards against passing on a stream as complete that its target broke off inside an event.
  @Test
  void aStreamThatEndsInsideAnEventIsBrokenOff() throws IOException {
    assertThat(stream(UNTIL_CLOSE + "id: 1\n\nid: 2\nda")).endsWith("[reset]");
  }

  // Guards against a last chunk behind half an event, which makes the stream look complete.
  @Test
  void aChunkedStreamThatEndsInsideAnEventIsBrokenOff() throws IOException {
    assertThat(stream(CHUNKED + chunk("id: 1\n\nid: 2\nda") + "0\r\n\r\n"))
        .doesNotContain("0\r\n\r\n");
  }

  // Guards against an empty answer in place of a stream whose target ended before its first event.
  @Test
  void aStreamWithoutLengthAndEventsIsBrokenOff() throws IOException {
    assertThat(stream(UNTIL_CLOSE)).endsWith("[reset]");
  }

  // Guards against a stream that counts as broken off, because its target sent neither a length nor
  // chunks.
  @Test
  void aStreamThatEndsBehindAnEventIsComplete() throws IOException {
    assertThat(stream(UNTIL_CLOSE + "id: 1\n\nid: 2\r\n\r\n"))
        .endsWith("id: 2\r\n\r\n\r\n0\r\n\r\n");
  }

  // Guards against half an event at the end of a stream that another target could have continued.
  @Test
  void aResumableStreamThatEndsInsideAnEventContinuesElsewhere() throws IOException {
    ScriptedTarget.Script script =
        (id, number, out) -> {
          boolean resumed = countHeads() > 1;
          write(out, UNTIL_CLOSE + (resumed ? "id: 2\n\n" : "id: 1\n\nid: 2\nda"));
          return false;
        };
    serve(RequestKind.STREAM, 2, true, target("t1", script), target("t2", script));
    String answer = call("");
    assertThat(answer).contains("id: 1\n\n");
    assertThat(answer).endsWith("id: 2\n\n\r\n0\r\n\r\n");
  }
}
