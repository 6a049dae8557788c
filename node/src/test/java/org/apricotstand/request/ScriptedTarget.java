package org.apricotstand.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A target on a loopback socket that answers each request by a script. */
final class ScriptedTarget implements AutoCloseable {

  /** Decides how the target answers a request. */
  interface Script {
    /**
     * Writes the answer to a request.
     *
     * @param requestId value of the request id header
     * @param number number of requests that have arrived so far, including this one
     * @return whether the connection stays open
     */
    boolean answer(String requestId, int number, OutputStream out) throws IOException;
  }

  private static final long CLOSE_TIMEOUT_MS = 5_000;

  private final ServerSocket listener;
  private final Thread acceptor;
  private final Script script;
  private final List<String> heads = new CopyOnWriteArrayList<>();
  private final AtomicInteger connectionCount = new AtomicInteger();

  ScriptedTarget(Script script) throws IOException {
    this(script, 0);
  }

  /** Creates a target at the port of one that was closed; 0 for any free port. */
  ScriptedTarget(Script script, int port) throws IOException {
    this.listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    this.script = script;
    this.acceptor = Thread.ofPlatform().daemon().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the heads of all requests that arrived. */
  List<String> heads() {
    return heads;
  }

  int connectionCount() {
    return connectionCount.get();
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  static String ok(String requestId, String body) {
    return "HTTP/1.1 200 OK\r\nX-Id: "
        + requestId
        + "\r\nX-Seal: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        connectionCount.incrementAndGet();
        Thread.ofPlatform().daemon().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Expected when the test has closed the listener.
      assert listener.isClosed();
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      boolean open = true;
      while (open) {
        String head = readHead(in);
        if (head.isEmpty()) {
          return;
        }
        heads.add(head);
        open = script.answer(valueOf(head, "x-id"), heads.size(), socket.getOutputStream());
      }
    } catch (IOException e) {
      if (!listener.isClosed()) {
        heads.add("failed: " + e);
      }
    }
  }

  private static String readHead(BufferedReader in) throws IOException {
    StringBuilder head = new StringBuilder();
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      head.append(line).append('\n');
      line = in.readLine();
    }
    int length = Integer.parseInt(valueOf(head.toString(), "content-length", "0"));
    for (int i = 0; i < length; i++) {
      in.read();
    }
    return head.toString();
  }

  private static String valueOf(String head, String name) {
    return valueOf(head, name, "");
  }

  static String valueOf(String head, String name, String defaultValue) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ":"))
        .map(line -> line.substring(name.length() + 1).trim())
        .findFirst()
        .orElse(defaultValue);
  }

  /**
   * Closes the listener and waits for the thread that accepts on it: until that thread returns from
   * the system call, the kernel goes on accepting connections.
   */
  @Override
  public void close() {
    try {
      listener.close();
      acceptor.join(CLOSE_TIMEOUT_MS);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
