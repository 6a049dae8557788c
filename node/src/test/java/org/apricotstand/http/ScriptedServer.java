package org.apricotstand.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Server that reads one request per connection, sends fixed bytes and closes the connection. */
final class ScriptedServer implements AutoCloseable {

  private static final long CLOSE_TIMEOUT_MS = 5_000;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final AtomicInteger requestCount = new AtomicInteger();
  private final String answer;
  private final Thread thread;

  ScriptedServer(String answer) throws IOException {
    this.answer = answer;
    thread = new Thread(this::serve, "scripted-server");
    thread.setDaemon(true);
    thread.start();
  }

  String url() {
    return "http://127.0.0.1:" + listener.getLocalPort();
  }

  int requestCount() {
    return requestCount.get();
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket connection = listener.accept()) {
        readHead(connection.getInputStream());
        requestCount.incrementAndGet();
        OutputStream out = connection.getOutputStream();
        out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      } catch (IOException e) {
        // The listener was closed or the client disconnected; both end only this connection.
        continue;
      }
    }
  }

  private static void readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    int next = input.read();
    while (next >= 0 && !head.toString().endsWith("\r\n\r\n")) {
      head.append((char) next);
      next = head.toString().endsWith("\r\n\r\n") ? -1 : input.read();
    }
  }

  /**
   * Closes the listener and waits for the thread that accepts on it: until that thread returns from
   * the system call, the kernel goes on accepting connections.
   */
  @Override
  public void close() throws IOException {
    listener.close();
    try {
      thread.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
