package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpServerTest {

  private static final HttpLimits LIMITS = new HttpLimits(1_024, 2_048, 8, 60_000, 500);
  private static final long SLOW_ANSWER_MS = 100;

  /** Longer than the time in which a request has to arrive. */
  private static final long LONG_ANSWER_MS = 1_200;

  private static final int LARGE_ANSWER_BYTES = 1_000_000;
  private static final int SMALL_BUFFER_BYTES = 4_096;
  private static final int TOO_LARGE_BYTES = 4_000;
  private static final String TOO_LARGE_HEAD =
      "POST / HTTP/1.1\r\nContent-Length: " + TOO_LARGE_BYTES + "\r\n\r\n";
  private static final String STREAMED_BODY = "firstsecond";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CountDownLatch callerDisconnected = new CountDownLatch(1);
  private final HttpServer server =
      HttpServer.start(group, new InetSocketAddress("127.0.0.1", 0), LIMITS, this::handle);

  private void handle(HttpExchange exchange) {
    switch (exchange.request().path()) {
      case "/stream" -> {
        exchange.begin(200, Map.of());
        exchange.write("first".getBytes(StandardCharsets.UTF_8));
        exchange.write("second".getBytes(StandardCharsets.UTF_8));
        exchange.end();
      }
      case "/broken" -> {
        exchange.begin(200, Map.of());
        exchange.write("first".getBytes(StandardCharsets.UTF_8));
        exchange.abort();
      }
      case "/slow" ->
          group.schedule(
              () -> exchange.respondJson(200, "\"slow\""), SLOW_ANSWER_MS, TimeUnit.MILLISECONDS);
      case "/slow-stream" -> {
        exchange.begin(200, Map.of());
        exchange.write("first".getBytes(StandardCharsets.UTF_8));
        group.schedule(() -> endStream(exchange), SLOW_ANSWER_MS, TimeUnit.MILLISECONDS);
      }
      case "/long-stream" -> {
        exchange.begin(200, Map.of());
        exchange.write("first".getBytes(StandardCharsets.UTF_8));
        group.schedule(() -> endStream(exchange), LONG_ANSWER_MS, TimeUnit.MILLISECONDS);
      }
      case "/large" -> {
        exchange.begin(200, Map.of("content-length", String.valueOf(LARGE_ANSWER_BYTES)));
        group.schedule(
            () -> {
              exchange.write(new byte[LARGE_ANSWER_BYTES]);
              exchange.end();
            },
            SLOW_ANSWER_MS,
            TimeUnit.MILLISECONDS);
      }
      case "/flood" -> {
        exchange.setCloseListener(callerDisconnected::countDown);
        exchange.begin(200, Map.of());
        writeUntilClosed(exchange);
      }
      default -> exchange.respondJson(200, "\"" + exchange.request().header("x-name") + "\"");
    }
  }

  private static void endStream(HttpExchange exchange) {
    exchange.write("second".getBytes(StandardCharsets.UTF_8));
    exchange.end();
  }

  private void writeUntilClosed(HttpExchange exchange) {
    exchange.write(new byte[1_024]);
    if (callerDisconnected.getCount() > 0) {
      group.schedule(() -> writeUntilClosed(exchange), 1, TimeUnit.MILLISECONDS);
    }
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Guards against chunked bodies to HTTP/1.0 callers, which cannot read them, and against bodies
   * whose end is that of the connection: one that a killed process cuts off would look complete.
   */
  @Test
  void streamedBodyOfHttp10HasItsLength() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      String answer = caller.send("GET /stream HTTP/1.0\r\n\r\n").readAll();
      assertThat(answer.toLowerCase(java.util.Locale.ROOT)).doesNotContain("chunked");
      assertThat(answer).contains("content-length: " + STREAMED_BODY.length() + "\r\n");
      assertThat(answer).endsWith("\r\n\r\n" + STREAMED_BODY);
    }
  }

  /**
   * Guards against an aborted body that looks complete to an HTTP/1.0 caller, which reads until the
   * connection closes.
   */
  @Test
  void resetsConnectionWhenStreamOfHttp10IsAborted() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /broken HTTP/1.0\r\n\r\n");
      assertThrows(SocketException.class, caller::readAll);
    }
  }

  /** Guards against dropping the request of a caller that has closed its sending side. */
  @Test
  void answersHalfClosedConnection() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      String answer =
          caller.send("GET / HTTP/1.1\r\nX-NAME: Anna\r\n\r\n").closeSendingSide().readAll();
      assertThat(answer).endsWith("\"Anna\"");
    }
  }

  /** Guards against pipelined requests that get the answers of each other. */
  @Test
  void answersPipelinedRequestsInOrder() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET / HTTP/1.1\r\nx-name: one\r\n\r\nGET / HTTP/1.1\r\nx-name: two\r\n\r\n");
      assertThat(caller.readUntil("\"one\"")).contains("200 OK");
      assertThat(caller.readUntil("\"two\"")).contains("200 OK");
    }
  }

  /**
   * Guards against the loss of answers to requests that run, because their caller sends too many.
   */
  @Test
  void answersTheFirstOfTooManyPipelinedRequests() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /slow HTTP/1.1\r\nx-name: a\r\n\r\n".repeat(40));
      assertThat(caller.readAll().split("200 OK", -1)).hasLength(18);
    }
  }

  /** Guards against the refusal of one request that is taken for the answer to the one before. */
  @Test
  void refusesTooLargeBodyAfterTheAnswersBeforeIt() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /slow HTTP/1.1\r\n\r\n" + TOO_LARGE_HEAD + "x".repeat(TOO_LARGE_BYTES));
      caller.send("GET / HTTP/1.1\r\nx-name: Anna\r\n\r\n");
      String received = caller.readUntil("\"Anna\"");
      assertThat(received.indexOf("slow")).isLessThan(received.indexOf("413 "));
    }
  }

  /** Guards against an answer that is cut off because the next request waits for leave to send. */
  @Test
  void anExpectingRequestDoesNotCutOffTheAnswerBeforeIt() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /slow-stream HTTP/1.1\r\n\r\n");
      caller.readUntil("first");
      caller.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
      assertThat(caller.readUntil("0\r\n\r\n")).contains("second");
      assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 100 ");
      assertThat(caller.send("hi").readUntil("\"null\"")).startsWith("HTTP/1.1 200 ");
    }
  }

  /** Guards against an answer that is cut off because of a line break behind its request. */
  @Test
  void aLineBreakBehindARequestDoesNotCutOffItsAnswer() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /long-stream HTTP/1.1\r\n\r\n");
      caller.readUntil("first");
      caller.send("\r\n");
      assertThat(caller.readUntil("0\r\n\r\n")).contains("second");
      assertThat(caller.send("GET / HTTP/1.1\r\nx-name: Anna\r\n\r\n").readUntil("\"Anna\""))
          .startsWith("HTTP/1.1 200 ");
    }
  }

  /** Guards against an answer that is cut off because the next request does not arrive whole. */
  @Test
  void anIncompleteRequestDoesNotCutOffTheAnswerBeforeIt() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /long-stream HTTP/1.1\r\n\r\n");
      caller.readUntil("first");
      caller.send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nh");
      assertThat(caller.readAll()).endsWith("second\r\n0\r\n\r\n");
    }
  }

  /**
   * Guards against the loss of an answer because its caller sends when the connection is closed.
   */
  @Test
  void aCallerThatSendsTooMuchGetsItsAnswers() throws Exception {
    try (RawConnection caller = new RawConnection(server.address(), SMALL_BUFFER_BYTES)) {
      caller.send("GET /large HTTP/1.1\r\n\r\n");
      caller.send("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n");
      caller.readUntil("\r\n\r\n");
      server.drain();
      TimeUnit.MILLISECONDS.sleep(2 * SLOW_ANSWER_MS);
      for (int i = 0; i < 5; i++) {
        caller.send("x".repeat(100));
        TimeUnit.MILLISECONDS.sleep(10);
      }
      assertThat(caller.readAll()).hasLength(LARGE_ANSWER_BYTES);
    }
  }

  /** Guards against unbounded bodies, and against closing the connection after a refused one. */
  @Test
  void refusesTooLargeBodyAndKeepsConnection() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      String body = "x".repeat(LIMITS.maxBodyBytes() + 1);
      caller.send("POST / HTTP/1.1\r\ncontent-length: " + body.length() + "\r\n\r\n");
      String answer = caller.readUntil("}}");
      assertThat(answer).startsWith("HTTP/1.1 413");
      assertThat(answer).contains("body_too_large");
      caller.send(body + "GET / HTTP/1.1\r\nx-name: next\r\n\r\n");
      assertThat(caller.readUntil("\"next\"")).contains("200 OK");
    }
  }

  /** Guards against headers of unbounded size. */
  @Test
  void refusesTooLargeHeaders() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      String value = "x".repeat(LIMITS.maxHeaderBytes());
      String answer = caller.send("GET / HTTP/1.1\r\nx-name: " + value + "\r\n\r\n").readAll();
      assertThat(answer).startsWith("HTTP/1.1 431");
      assertThat(answer).contains("headers_too_large");
    }
  }

  /** Guards against senders that occupy a connection with an incomplete request. */
  @Test
  void closesConnectionWithIncompleteRequest() throws IOException {
    try (RawConnection caller = new RawConnection(server.address())) {
      assertThat(caller.send("GET / HTTP/1.1\r\nx-name:").readAll()).isEmpty();
    }
  }

  /** Guards against work that continues for a caller that has disconnected. */
  @Test
  void reportsDisconnectedCaller() throws Exception {
    try (RawConnection caller = new RawConnection(server.address())) {
      caller.send("GET /flood HTTP/1.1\r\n\r\n").readUntil("\r\n\r\n");
    }
    assertThat(callerDisconnected.await(20, TimeUnit.SECONDS)).isTrue();
  }
}
