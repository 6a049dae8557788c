package org.apricotstand.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.apricotstand.control.ControlThread;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a server whose open connections go silent while new ones work. */
class HttpClientSilentConnectionTest {

  private static final int CONNECTIONS = 3;
  private static final long TIMEOUT_MS = 20_000;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group);
  private final AtomicInteger connectionCount = new AtomicInteger();
  private final CountDownLatch firstRequests = new CountDownLatch(CONNECTIONS);
  private volatile boolean isSilent;
  private ServerSocket listener;

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

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        boolean isOld = connectionCount.incrementAndGet() <= CONNECTIONS;
        Thread.ofPlatform().daemon().start(() -> serve(socket, isOld));
      }
    } catch (IOException e) {
      // Expected when the test has closed the listener.
      assert listener.isClosed();
    }
  }

  /** Answers the requests of a connection, until the old ones go silent. */
  private void serve(Socket socket, boolean isOld) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.isEmpty() && !(isOld && isSilent)) {
          // All first requests are open at once, so that each has a connection of its own.
          firstRequests.countDown();
          firstRequests.await();
          socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException e) {
      assert isOld : e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private CompletableFuture<HttpReply> send(long timeoutMs) {
    String url = "http://127.0.0.1:" + listener.getLocalPort() + "/";
    return client.send(HttpCall.get(url, ControlThread.nowMs() + timeoutMs));
  }

  // Guards against calls that time out one after the other, each on another pooled connection that
  // has gone silent with the first one.
  @Test
  void oneTimeoutReplacesAllPooledConnections() {
    CompletableFuture<?>[] first =
        Stream.generate(() -> send(TIMEOUT_MS))
            .limit(CONNECTIONS)
            .toArray(CompletableFuture<?>[]::new);
    CompletableFuture.allOf(first).join();
    isSilent = true;
    assertThrows(CompletionException.class, () -> send(300).join());
    assertThat(send(TIMEOUT_MS / 2).join().text()).isEqualTo("done");
    assertThat(connectionCount.get()).isEqualTo(CONNECTIONS + 1);
  }
}
