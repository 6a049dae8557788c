package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpCallerTest {

  private static final long TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpCaller caller = new HttpCaller(group);

  @AfterEach
  void stop() {
    caller.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against the client's own retry, which would run a request twice. */
  @Test
  void sendsRequestOnceWhenTheConnectionBreaks() throws IOException {
    try (ScriptedServer server = new ScriptedServer("")) {
      CallFailure failure = failureOf(get(server.url()));
      assertThat(failure.sent()).isTrue();
      assertThat(failure.code()).isEqualTo("connection_lost");
      assertThat(server.requests()).isEqualTo(1);
    }
  }

  /** Guards against a request that is called "maybe run" although nothing was sent. */
  @Test
  void knowsThatNothingWasSentToClosedPort() throws IOException {
    ScriptedServer server = new ScriptedServer("");
    server.close();
    CallFailure failure = failureOf(get(server.url()));
    assertThat(failure.sent()).isFalse();
    assertThat(failure.code()).isEqualTo("connect_failed");
  }

  /** Guards against a redirect that sends a request to a second target. */
  @Test
  void returnsRedirectAsItIs() throws IOException {
    String redirect = "HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
    try (ScriptedServer server = new ScriptedServer(redirect)) {
      assertThat(caller.send(get(server.url())).join().status()).isEqualTo(302);
      assertThat(server.requests()).isEqualTo(1);
    }
  }

  /** Guards against part of a body of known length that passes for the whole. */
  @Test
  void failsOnBodyShorterThanItsLength() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")) {
      assertThat(failureOf(get(server.url())).sent()).isTrue();
    }
  }

  /** Guards against a chunked body without its end that passes for the whole. */
  @Test
  void failsOnChunkedBodyWithoutEnd() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")) {
      assertThat(failureOf(get(server.url())).sent()).isTrue();
    }
  }

  /** Guards against an answer that fills the memory of the instance. */
  @Test
  void failsOnAnswerOverTheLimit() throws IOException {
    try (ScriptedServer server =
        new ScriptedServer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789")) {
      assertThat(caller.send(get(server.url()), 10).join().text()).isEqualTo("0123456789");
      CompletionException thrown =
          assertThrows(
              CompletionException.class,
              // The scripted server may have closed the pooled connection of the call before.
              () -> caller.send(get(server.url()).onFreshConnection(), 9).join());
      assertThat(thrown).hasMessageThat().contains("answer_too_large");
    }
  }

  /** Guards against a dispatch after its deadline. */
  @Test
  void sendsNothingAfterTheDeadline() throws IOException {
    try (ScriptedServer server = new ScriptedServer("HTTP/1.1 200 OK\r\n\r\n")) {
      CallFailure failure = failureOf(HttpCall.get(server.url(), ControlThread.nowMs() - 1));
      assertThat(failure.sent()).isFalse();
      assertThat(server.requests()).isEqualTo(0);
    }
  }

  private static HttpCall get(String url) {
    return HttpCall.get(url, ControlThread.nowMs() + TIMEOUT_MS);
  }

  private CallFailure failureOf(HttpCall call) {
    CompletionException thrown =
        assertThrows(CompletionException.class, () -> caller.send(call).join());
    return ((HttpCaller.CallException) thrown.getCause()).failure();
  }
}
