package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a server that answers a call twice, the second time late, on a pooled connection. */
class HttpClientLateAnswerTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final String FIRST = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
  private static final String FAILURE = "HTTP/1.1 500 Oops\r\ncontent-length: 6\r\n\r\nfailed";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final AtomicInteger requestCount = new AtomicInteger();
  private ServerSocket listener;
  private volatile String afterFirst = "";
  private volatile String lateWhileIdle = "";
  private volatile String lateBeforeNextAnswer = "";

  @BeforeEach
  void start() throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread.ofPlatform().daemon().start(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    listener.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  // Guards against a failure that is read as a success: the late answer arrives in part while the
  // connection is pooled, and the next answer is read as the rest of it.
  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nx-a: b", "HTTP/1.1 200 OK"})
  void aPartOfALateAnswerOnAPooledConnectionIsNotJoinedToTheNextAnswer(String part)
      throws Exception {
    lateWhileIdle = part;
    assertThat(client.send(call()).join().text()).isEqualTo("first");
    Thread.sleep(300);
    assertThat(client.send(call()).join().status()).isEqualTo(500);
  }

  // Guards against the same when the part arrives after the next request was sent.
  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nx-a: b", "HTTP/1.1 200 OK"})
  void aPartOfALateAnswerBeforeTheNextAnswerIsNotJoinedToIt(String part) {
    lateBeforeNextAnswer = part;
    assertThat(client.send(call()).join().text()).isEqualTo("first");
    CompletionException thrown =
        assertThrows(CompletionException.class, () -> client.send(call()).join());
    assertThat(((HttpClient.CallException) thrown.getCause()).failure().maybeSent()).isTrue();
  }

  // Guards against the same when the part follows the first answer in the same read, so that it is
  // in the decoder before the connection is pooled.
  @ParameterizedTest
  @ValueSource(
      strings = {"H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nx-a: b"})
  void aPartThatFollowsAnAnswerAtOnceIsNotJoinedToTheNextAnswer(String part) {
    afterFirst = part;
    assertThat(client.send(call()).join().text()).isEqualTo("first");
    int status = client.send(call()).handle((reply, e) -> e == null ? reply.status() : -1).join();
    assertThat(status).isNotEqualTo(200);
  }

  // Guards against a call that ends without a head: the answer that follows the first one in the
  // same
  // read lacks a part of its body, and the next answer is read as the rest of it.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\nx",
        "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\nx",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1e\r\nx",
        "HTTP/1.1 200 OK\r\n\r\nx"
      })
  void anAnswerThatIsCutInsideItsBodyAndFollowsAnotherDoesNotTakeInTheNext(String part)
      throws Exception {
    afterFirst = part;
    assertThat(client.send(call()).join().text()).isEqualTo("first");
    Thread.sleep(300);
    assertThat(client.send(call()).join().status()).isEqualTo(500);
  }

  // Guards against a whole late answer that is taken for that to the next call.
  @Test
  void aWholeLateAnswerIsNotThatOfTheNextCall() {
    lateBeforeNextAnswer = FIRST;
    assertThat(client.send(call()).join().text()).isEqualTo("first");
    assertThat(client.send(call()).join().status()).isEqualTo(500);
  }

  private HttpCall call() {
    long deadlineMs = ControlThread.nowMs() + TIMEOUT_MS;
    return HttpCall.get("http://127.0.0.1:" + listener.getLocalPort() + "/", deadlineMs);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread.ofPlatform().daemon().start(() -> serve(socket));
      } catch (IOException e) {
        // The test has closed the listener.
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = socket.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.isEmpty()) {
          answer(out);
        }
      }
    } catch (IOException e) {
      // The client disconnected, which ends only this connection.
    }
  }

  private void answer(OutputStream out) throws IOException {
    if (requestCount.incrementAndGet() > 1) {
      write(out, lateBeforeNextAnswer + FAILURE);
      return;
    }
    write(out, FIRST + afterFirst);
    group.schedule(() -> writeQuietly(out), 100, TimeUnit.MILLISECONDS);
  }

  private void writeQuietly(OutputStream out) {
    try {
      write(out, lateWhileIdle);
    } catch (IOException e) {
      // The connection was closed, as it should be.
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
