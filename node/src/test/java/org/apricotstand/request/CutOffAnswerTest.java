package org.apricotstand.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.apricotstand.request.ScriptedTarget.write;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.apricotstand.route.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The connection of a caller ends without a reset while its answer is on its way, as the kernel
 * ends the connections of a process that is killed.
 */
class CutOffAnswerTest extends RequestRouterFixture {

  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
  private static final String EVENTS = "id: 1\n\nid: 2\n\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private final CountDownLatch cut = new CountDownLatch(1);

  /** Serves a stream that goes on until the connection of the caller was cut. */
  private void serveStream(String framing, boolean resumable) throws IOException {
    String events = framing.equals(CHUNKED) ? chunk(EVENTS) : EVENTS;
    ScriptedTarget.Script script =
        (id, number, out) -> {
          write(out, HEAD + framing + "\r\n" + events);
          awaitCut();
          return false;
        };
    serve(RequestKind.STREAM, 1, resumable, target("t1", script));
  }

  private void awaitCut() throws IOException {
    try {
      cut.await();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static String request(String method, String version) {
    return method + " /p/x HTTP/" + version + "\r\nHost: h\r\nX-Id: q1\r\n";
  }

  private static String post(String version) {
    return request("POST", version) + "Content-Length: 2\r\n\r\nhi";
  }

  /** Sends a request, ends its connection after a part of the answer, and returns the answer. */
  private String cutOff(String request, String awaitedPart) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      socket.setSoTimeout((int) TEST_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      StringBuilder received = new StringBuilder();
      while (received.indexOf(awaitedPart) < 0) {
        int next = socket.getInputStream().read();
        assertWithMessage("end of the answer after %s", received).that(next).isAtLeast(0);
        received.append((char) next);
      }
      awaitHeads(1);
      server.stop();
      cut.countDown();
      return received + readAll(socket.getInputStream());
    }
  }

  /** Returns whether an answer that ends with its connection is complete, as HTTP tells. */
  private static boolean isComplete(String answer) {
    String[] parts = answer.split("\r\n\r\n", 2);
    String head = parts[0].toLowerCase(Locale.ROOT);
    if (parts.length < 2) {
      return false;
    }
    if (head.contains("transfer-encoding: chunked")) {
      return parts[1].endsWith("0\r\n\r\n");
    }
    String field = "content-length: ";
    int at = head.indexOf(field);
    return at < 0 || head.startsWith(parts[1].length() + "\r\n", at + field.length());
  }

  // Guards against a stream that looks complete although the process that passed it on was killed:
  // with neither a length nor chunks the end of the connection would mark its end.
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void aStreamThatIsCutOffDoesNotLookComplete(boolean chunked, boolean resumable)
      throws IOException {
    serveStream(chunked ? CHUNKED : "", resumable);
    String answer = cutOff(post("1.1"), "id: 2\n\n");
    assertThat(answer).startsWith("HTTP/1.1 200");
    assertWithMessage("complete: %s", answer).that(isComplete(answer)).isFalse();
  }

  // Guards against half a stream that looks complete to a caller that does not understand chunks,
  // and against chunks that it takes for a part of the body.
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void aCallerWithoutChunksGetsNoPartOfAStreamThatIsCutOff(boolean chunked, boolean resumable)
      throws IOException {
    serveStream(chunked ? CHUNKED : "", resumable);
    assertThat(cutOff(post("1.0"), "")).isEmpty();
  }

  // Guards against a stream whose end a caller that does not understand chunks cannot tell.
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void aCallerWithoutChunksGetsAWholeStreamWithItsLength(boolean chunked, boolean resumable)
      throws IOException {
    cut.countDown();
    String answer =
        chunked ? HEAD + CHUNKED + "\r\n" + chunk(EVENTS) + "0\r\n\r\n" : HEAD + "\r\n" + EVENTS;
    serve(RequestKind.STREAM, 1, resumable, target("t1", always(answer, false)));
    String received = sendRaw(post("1.0"));
    assertThat(received.toLowerCase(Locale.ROOT)).contains("content-length: " + EVENTS.length());
    assertThat(received.toLowerCase(Locale.ROOT)).doesNotContain("chunked");
    assertThat(received).endsWith("\r\n\r\n" + EVENTS);
  }

  // Guards against an answer with a length to a caller that does not understand chunks, whose
  // target
  // broke it off inside an event.
  @Test
  void aCallerWithoutChunksGetsNoStreamThatEndsInsideAnEvent() throws IOException {
    String answer = HEAD + "\r\n" + EVENTS + "id: 3\nda";
    serve(RequestKind.STREAM, 1, false, target("t1", always(answer, false)));
    assertThat(sendRaw(post("1.0"))).startsWith("HTTP/1.1 502");
  }

  // Guards against chunks behind the head of an answer that has no body.
  @Test
  void anAnswerToAHeadRequestHasNoChunks() throws IOException {
    serve(RequestKind.STREAM, 1, false, target("t1", always(HEAD + "\r\n", false)));
    String answer = sendRaw(request("HEAD", "1.1") + "Connection: close\r\n\r\n");
    assertThat(answer).startsWith("HTTP/1.1 200");
    assertThat(answer.toLowerCase(Locale.ROOT)).doesNotContain("chunked");
    assertThat(answer).endsWith("\r\n\r\n");
  }
}
