package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;

/** Answers that arrive in very small parts. */
class TinyPartsTest extends RequestRouterFixture {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final int BYTES = 20_000;

  /** Returns the number of chunks that the caller got, each of which was one write. */
  private static long countChunks(String answer) {
    return answer.lines().filter(line -> line.matches("[0-9a-f]+")).count();
  }

  private String stream(boolean resumable) throws IOException {
    String text = "data: " + "z".repeat(BYTES) + "\n\n";
    StringBuilder chunks = new StringBuilder(HEAD);
    text.chars().forEach(next -> chunks.append(chunk(String.valueOf((char) next))));
    String answer = chunks.append("0\r\n\r\n").toString();
    serve(RequestKind.STREAM, 1, resumable, target("t1", always(answer, true)));
    return call("");
  }

  // Guards against a system call for each byte of an answer: every part was written and flushed by
  // itself, so that a stream in chunks of one byte kept the traffic thread from all other requests.
  @Test
  void partsThatArriveTogetherLeaveTogether() throws IOException {
    String answer = stream(false);
    assertThat(answer.chars().filter(next -> next == 'z').count()).isEqualTo(BYTES);
    assertThat(countChunks(answer)).isLessThan(BYTES / 20L);
  }

  // Guards against bytes that are lost or sent twice when an event arrives in such parts.
  @Test
  void anEventInTinyPartsIsWhole() throws IOException {
    String answer = stream(true);
    assertThat(answer.chars().filter(next -> next == 'z').count()).isEqualTo(BYTES);
    assertThat(answer).endsWith("0\r\n\r\n");
  }
}
