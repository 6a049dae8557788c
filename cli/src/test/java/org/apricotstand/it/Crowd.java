package org.apricotstand.it;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apricotstand.standin.process.Await;

/**
 * Many connections to one address that send bytes, read nothing and stay open until the crowd is
 * closed.
 *
 * <pre>{@code
 * try (Crowd crowd = new Crowd(address)) {
 *   crowd.add(200, out -> out.write(head));
 *   crowd.awaitSent();
 * }
 * }</pre>
 */
final class Crowd implements AutoCloseable {

  /** Small, so that bytes that the crowd does not read stay in the process that sends them. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  /** Time without a byte sent after which the receiver is taken to read no more. */
  private static final long BLOCKED_MS = 3_000;

  /** Sends the bytes of one connection. */
  interface Sender {
    void send(OutputStream out) throws IOException;
  }

  private final InetSocketAddress address;
  private final List<Socket> sockets = new ArrayList<>();
  private final AtomicInteger sending = new AtomicInteger();
  private final AtomicLong sentBytes = new AtomicLong();

  Crowd(InetSocketAddress address) {
    this.address = address;
  }

  /** Opens connections and starts to send on all of them. */
  void add(int connections, Sender sender) throws IOException {
    for (int i = 0; i < connections; i++) {
      Socket socket = new Socket();
      sockets.add(socket);
      socket.setTcpNoDelay(true);
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      sending.incrementAndGet();
      Thread.ofVirtual().start(() -> send(socket, sender));
    }
  }

  private void send(Socket socket, Sender sender) {
    try {
      socket.connect(address);
      sender.send(new CountingStream(socket.getOutputStream()));
    } catch (IOException e) {
      // The receiver may close any of these connections.
      return;
    } finally {
      sending.decrementAndGet();
    }
  }

  /** Waits until all bytes are sent, or the receiver takes no more of them. */
  void awaitSent() {
    long[] lastSent = {-1, System.currentTimeMillis()};
    Await.until(
        "all sent",
        () -> {
          long sent = sentBytes.get();
          if (sent != lastSent[0]) {
            lastSent[0] = sent;
            lastSent[1] = System.currentTimeMillis();
          }
          return sending.get() == 0 || System.currentTimeMillis() - lastSent[1] > BLOCKED_MS;
        });
  }

  private final class CountingStream extends FilterOutputStream {
    CountingStream(OutputStream out) {
      super(out);
    }

    @Override
    public void write(int value) throws IOException {
      out.write(value);
      sentBytes.incrementAndGet();
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      out.write(bytes, offset, length);
      sentBytes.addAndGet(length);
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
