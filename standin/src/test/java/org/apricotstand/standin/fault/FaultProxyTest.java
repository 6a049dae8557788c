package org.apricotstand.standin.fault;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a proxy that passes bytes a fault should keep, or loses bytes it should pass. */
final class FaultProxyTest {

  private static final int LIMIT_MS = 20_000;
  private static final int SHORT_WAIT_MS = 200;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket server;
  private FaultProxy proxy;
  private Socket caller;
  private Socket upstream;

  @BeforeEach
  void connect() throws IOException {
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    server.setSoTimeout(LIMIT_MS);
    proxy = FaultProxy.start(group, (InetSocketAddress) server.getLocalSocketAddress());
    caller = open();
    upstream = server.accept();
    upstream.setSoTimeout(LIMIT_MS);
  }

  private Socket open() throws IOException {
    Socket socket = new Socket();
    socket.connect(proxy.address(), LIMIT_MS);
    socket.setSoTimeout(LIMIT_MS);
    return socket;
  }

  @AfterEach
  void close() throws IOException {
    caller.close();
    upstream.close();
    proxy.close();
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void passesBothDirectionsAndHalfClose() throws IOException {
    send(caller, "question");
    caller.shutdownOutput();
    assertThat(new String(upstream.getInputStream().readAllBytes(), UTF_8)).isEqualTo("question");
    send(upstream, "answer");
    upstream.close();
    assertThat(new String(caller.getInputStream().readAllBytes(), UTF_8)).isEqualTo("answer");
  }

  @Test
  void passesMoreThanItsBufferLimit() throws Exception {
    byte[] large = new byte[8 * 1024 * 1024];
    Thread writer =
        Thread.ofVirtual()
            .start(
                () -> {
                  try {
                    caller.getOutputStream().write(large);
                    caller.shutdownOutput();
                  } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                  }
                });
    assertThat(upstream.getInputStream().readAllBytes()).hasLength(large.length);
    writer.join();
  }

  @Test
  void holdsOneDirectionAndDeliversAfterHealing() throws IOException {
    proxy.set(Direction.TO_CALLER, Fault.hold());
    send(caller, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    send(upstream, "pong");
    caller.setSoTimeout(SHORT_WAIT_MS);
    assertThrows(SocketTimeoutException.class, () -> caller.getInputStream().read());
    caller.setSoTimeout(LIMIT_MS);
    proxy.heal();
    assertThat(receive(caller, 4)).isEqualTo("pong");
  }

  @Test
  void losesAnswerAfterRequestPassed() throws IOException {
    proxy.set(Direction.TO_CALLER, Fault.lose());
    send(caller, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    send(upstream, "pong");
    assertBroken(caller);
  }

  @Test
  void cutsAfterBytes() throws IOException {
    proxy.set(Direction.TO_CALLER, Fault.cutAfter(3));
    send(upstream, "po");
    assertThat(receive(caller, 2)).isEqualTo("po");
    send(upstream, "ng");
    assertThat(readToReset(caller)).isAtMost(1);
  }

  @Test
  void refusesNewConnectionsButKeepsOpenOnes() throws IOException {
    proxy.refuse();
    assertThrows(IOException.class, this::open);
    send(caller, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    proxy.accept();
    try (Socket again = open();
        Socket accepted = server.accept()) {
      send(again, "more");
      assertThat(receive(accepted, 4)).isEqualTo("more");
    }
  }

  @Test
  void faultOfOneConnectionSparesTheOthers() throws IOException {
    try (Socket other = open();
        Socket otherUpstream = server.accept()) {
      proxy.connections().getFirst().cut();
      assertBroken(caller);
      send(other, "ping");
      assertThat(receive(otherUpstream, 4)).isEqualTo("ping");
    }
  }

  @Test
  void delayKeepsOrderWhenItIsLifted() throws IOException {
    proxy.set(Direction.TO_UPSTREAM, Fault.delay(SHORT_WAIT_MS));
    send(caller, "first ");
    while (proxy.connections().getFirst().passedBytes(Direction.TO_UPSTREAM) == 0) {
      Thread.onSpinWait();
    }
    send(caller, "second ");
    proxy.heal();
    send(caller, "third");
    assertThat(receive(upstream, 18)).isEqualTo("first second third");
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(UTF_8));
  }

  private static String receive(Socket socket, int length) throws IOException {
    return new String(socket.getInputStream().readNBytes(length), UTF_8);
  }

  private static void assertBroken(Socket socket) throws IOException {
    assertThat(readToReset(socket)).isEqualTo(0);
  }

  /** Returns the bytes that arrive before the reset; fails on a normal end. */
  private static int readToReset(Socket socket) throws IOException {
    int count = 0;
    try {
      while (socket.getInputStream().read() >= 0) {
        count++;
      }
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException reset) {
      return count;
    }
    throw new AssertionError("the connection ended without a reset after " + count + " bytes");
  }
}
