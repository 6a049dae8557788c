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

/** Guards against a proxy that forwards bytes despite a fault, or loses bytes without a fault. */
final class FaultProxyTest {

  private static final int TIMEOUT_MS = 20_000;
  private static final int SHORT_WAIT_MS = 200;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ServerSocket server;
  private FaultProxy proxy;
  private Socket client;
  private Socket upstream;

  @BeforeEach
  void connect() throws IOException {
    server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TIMEOUT_MS);
    proxy = FaultProxy.start(group, (InetSocketAddress) server.getLocalSocketAddress());
    client = open();
    upstream = server.accept();
    upstream.setSoTimeout(TIMEOUT_MS);
  }

  private Socket open() throws IOException {
    Socket socket = new Socket();
    socket.connect(proxy.address(), TIMEOUT_MS);
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  @AfterEach
  void close() throws IOException {
    client.close();
    upstream.close();
    proxy.close();
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void forwardsBothDirectionsAndHalfClose() throws IOException {
    send(client, "question");
    client.shutdownOutput();
    assertThat(new String(upstream.getInputStream().readAllBytes(), UTF_8)).isEqualTo("question");
    send(upstream, "answer");
    upstream.close();
    assertThat(new String(client.getInputStream().readAllBytes(), UTF_8)).isEqualTo("answer");
  }

  @Test
  void forwardsMoreThanTheBufferLimit() throws Exception {
    byte[] large = new byte[8 * 1024 * 1024];
    Thread writer =
        Thread.ofVirtual()
            .start(
                () -> {
                  try {
                    client.getOutputStream().write(large);
                    client.shutdownOutput();
                  } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                  }
                });
    assertThat(upstream.getInputStream().readAllBytes()).hasLength(large.length);
    writer.join();
  }

  @Test
  void holdsOneDirectionAndDeliversAfterHealing() throws IOException {
    proxy.setFault(Direction.TO_CLIENT, Fault.hold());
    send(client, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    send(upstream, "pong");
    client.setSoTimeout(SHORT_WAIT_MS);
    assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
    client.setSoTimeout(TIMEOUT_MS);
    proxy.heal();
    assertThat(receive(client, 4)).isEqualTo("pong");
  }

  @Test
  void resetOnFirstByteDropsTheAnswerButNotTheRequest() throws IOException {
    proxy.setFault(Direction.TO_CLIENT, Fault.resetOnFirstByte());
    send(client, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    send(upstream, "pong");
    assertResetWithoutData(client);
  }

  @Test
  void resetsAfterByteLimit() throws IOException {
    proxy.setFault(Direction.TO_CLIENT, Fault.resetAfter(3));
    send(upstream, "po");
    assertThat(receive(client, 2)).isEqualTo("po");
    send(upstream, "ng");
    assertThat(countBytesUntilReset(client)).isAtMost(1);
  }

  @Test
  void refusesNewConnectionsButKeepsOpenOnes() throws IOException {
    proxy.refuseConnections();
    assertThrows(IOException.class, this::open);
    send(client, "ping");
    assertThat(receive(upstream, 4)).isEqualTo("ping");
    proxy.acceptConnections();
    try (Socket newClient = open();
        Socket newUpstream = server.accept()) {
      send(newClient, "more");
      assertThat(receive(newUpstream, 4)).isEqualTo("more");
    }
  }

  @Test
  void resetOfOneConnectionDoesNotAffectOthers() throws IOException {
    try (Socket otherClient = open();
        Socket otherUpstream = server.accept()) {
      proxy.connections().getFirst().reset();
      assertResetWithoutData(client);
      send(otherClient, "ping");
      assertThat(receive(otherUpstream, 4)).isEqualTo("ping");
    }
  }

  @Test
  void bytesStayInOrderWhenDelayIsRemoved() throws IOException {
    proxy.setFault(Direction.TO_UPSTREAM, Fault.delay(SHORT_WAIT_MS));
    send(client, "first ");
    while (proxy.connections().getFirst().forwardedBytes(Direction.TO_UPSTREAM) == 0) {
      Thread.onSpinWait();
    }
    send(client, "second ");
    proxy.heal();
    send(client, "third");
    assertThat(receive(upstream, 18)).isEqualTo("first second third");
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(UTF_8));
  }

  private static String receive(Socket socket, int length) throws IOException {
    return new String(socket.getInputStream().readNBytes(length), UTF_8);
  }

  private static void assertResetWithoutData(Socket socket) throws IOException {
    assertThat(countBytesUntilReset(socket)).isEqualTo(0);
  }

  /** Returns the number of bytes that arrive before the reset; fails on a normal end. */
  private static int countBytesUntilReset(Socket socket) throws IOException {
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
