package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpClientTest {

  private static final long TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);

  @AfterEach
  void stop() {
    client.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against retries by the HTTP library, which would run a request twice. */
  @Test
  void sendsRequestOnceWhenTheConnectionBreaks() throws IOException {
    try (ScriptedServer server = new ScriptedServer("")) {
      CallFailure failure = failureOf(get(server.url()));
      assertThat(failure.maybeSent()).isTrue();
      assertThat(failure.code()).isEqualTo("connection_lost");
      assertThat(server.requestCount()).isEqualTo(1);
    }
  }

  /** Guards against reporting a request as possibly sent when no connection could be opened. */
  @Test
  void reportsNothingSentWhenTheConnectionIsRefused() throws IOException {
    ScriptedServer server = new ScriptedServer("");
    server.close();
    CallFailure failure = failureOf(get(server.url()));
    assertThat(failure.maybeSent()).isFalse();
    assertThat(failure.code()).isEqualTo("connect_failed");
  }

  /** Guards against following a redirect, which would send a request to a second target. */
  @Test
  void returnsRedirectWithoutFollowingIt() throws IOException {
    String redirect = "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
    try (ScriptedServer server = new ScriptedServer(redirect)) {
      assertThat(client.send(get(server.url())).join().status()).isEqualTo(302);
      assertThat(server.requestCount()).isEqualTo(1);
    }
  }

  /** Guards against taking an incomplete body with a content-length as complete. */
  @Test
  void failsOnBodyShorterThanItsContentLength() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /** Guards against taking a chunked body without the last chunk as complete. */
  @Test
  void failsOnChunkedBodyWithoutLastChunk() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /** Guards against an empty success made of a head that lost its length and a close. */
  @Test
  void failsOnACloseRightBehindAHeadWithoutLength() throws IOException {
    try (ScriptedServer server = new ScriptedServer("HTTP/1.1 200 OK\r\nx: y\r\n\r\n")) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /** Guards against a success with an empty body in place of an answer whose head broke off. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx: y\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length:",
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nhalf"
      })
  void failsOnAHeadThatBreaksOff(String head) throws IOException {
    try (ScriptedServer server = new ScriptedServer(head)) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /**
   * Guards against an answer that callers get with a status that is none: a server in trouble sent
   * the status 000, and it was passed on.
   */
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "099", "600", "999", "-1"})
  void failsOnAStatusThatIsNone(String status) throws IOException {
    String answer = "HTTP/1.1 " + status + " OK\r\ncontent-length: 4\r\n\r\nwhat";
    try (ScriptedServer server = new ScriptedServer(answer)) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /**
   * Guards against heads that exhaust the heap: 1,900 lines of four bytes are within the limit of 8
   * KB and take 0.4 MB.
   */
  @Test
  void failsOnAHeadOfManyShortLines() throws IOException {
    String answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + "a:\r\n".repeat(1_900) + "\r\n";
    try (ScriptedServer server = new ScriptedServer(answer)) {
      assertThat(failureOf(get(server.url())).maybeSent()).isTrue();
    }
  }

  /** Guards against taking a body that only its connection ends as complete after a reset. */
  @Test
  void failsOnABodyWithoutLengthThatIsReset() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      CompletableFuture<HttpReply> reply =
          client.send(get("http://127.0.0.1:" + listener.getLocalPort()));
      try (Socket connection = listener.accept()) {
        connection.setSoLinger(true, 0);
        connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(US_ASCII));
        Thread.sleep(200);
      }
      assertThrows(CompletionException.class, reply::join);
    }
  }

  /** Guards against an answer without status because its head has no headers. */
  @Test
  void returnsTheStatusOfAHeadWithoutHeaders() throws IOException {
    try (ScriptedServer server = new ScriptedServer("HTTP/1.1 200 OK\r\n\r\nwhole")) {
      HttpReply reply = client.send(get(server.url())).join();
      assertThat(reply.status()).isEqualTo(200);
      assertThat(reply.text()).isEqualTo("whole");
    }
  }

  /** Guards against answers that exhaust the memory of the instance. */
  @Test
  void failsOnAnswerOverTheLimit() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789")) {
      assertThat(client.send(get(server.url()), 10).join().text()).isEqualTo("0123456789");
      CompletionException thrown =
          assertThrows(
              CompletionException.class,
              // The scripted server may have closed the pooled connection of the previous call.
              () -> client.send(get(server.url()).withNewConnection(), 9).join());
      assertThat(thrown).hasMessageThat().contains("answer_too_large");
    }
  }

  /** Guards against sending a request after its deadline. */
  @Test
  void sendsNothingAfterTheDeadline() throws IOException {
    try (ScriptedServer server = new ScriptedServer("HTTP/1.1 200 OK\r\n\r\n")) {
      CallFailure failure = failureOf(HttpCall.get(server.url(), ControlThread.nowMs() - 1));
      assertThat(failure.maybeSent()).isFalse();
      assertThat(server.requestCount()).isEqualTo(0);
    }
  }

  private static HttpCall get(String url) {
    return HttpCall.get(url, ControlThread.nowMs() + TIMEOUT_MS);
  }

  private CallFailure failureOf(HttpCall call) {
    CompletionException thrown =
        assertThrows(CompletionException.class, () -> client.send(call).join());
    return ((HttpClient.CallException) thrown.getCause()).failure();
  }
}
