package org.apricotstand.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.apricotstand.dispatch.TargetEntry;

/** A target that answers each request with the same bytes and then resets its connection. */
final class ResettingTarget implements AutoCloseable {

  /** Time for the bytes to be read before the reset, which may overtake them. */
  private static final long RESET_DELAY_MS = 300;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final byte[] answer;

  ResettingTarget(String answer) throws IOException {
    this.answer = answer.getBytes(StandardCharsets.UTF_8);
    Thread.ofPlatform().daemon().start(this::accept);
  }

  TargetEntry entry(String id) {
    int port = listener.getLocalPort();
    return new TargetEntry(id, "s", "127.0.0.1", port, "d", 8, false, 1, Map.of());
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread.ofPlatform().daemon().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Expected when the test has closed the listener.
      assert listener.isClosed();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.getInputStream().read();
      socket.getOutputStream().write(answer);
      Thread.sleep(RESET_DELAY_MS);
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      assert listener.isClosed() : e;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
