package org.apricotstand.engine;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/** Server that answers by a script, keeps connections open and records which of them it used. */
final class KeepAliveServer implements AutoCloseable {

  /** Decides how a request is answered. */
  interface Script {
    /**
     * Returns the bytes of the answer.
     *
     * @param connection number of the connection, from 1
     * @param number number of the request on its connection, from 1
     */
    String answer(int connection, int number);
  }

  static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

  private final Script script;

  private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final List<String> requests = new CopyOnWriteArrayList<>();

  KeepAliveServer() throws IOException {
    this((connection, number) -> OK);
  }

  KeepAliveServer(Script script) throws IOException {
    this.script = script;
    startDaemon(this::acceptConnections);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the requests so far, each as the number of its connection, from 1, and its path. */
  List<String> requests() {
    return List.copyOf(requests);
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        connections.add(connection);
        int number = connections.size();
        startDaemon(() -> serve(connection, number));
      } catch (IOException e) {
        // The listener was closed.
        return;
      }
    }
  }

  private void serve(Socket connection, int number) {
    try (connection) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      int count = 0;
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        skipHeadersAndBody(reader);
        requests.add(number + " " + line.split(" ")[1]);
        count++;
        String answer = script.answer(number, count);
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The client disconnected, which ends only this connection.
    }
  }

  private static void skipHeadersAndBody(BufferedReader reader) throws IOException {
    int bodyLength = 0;
    for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
      String header = line.toLowerCase(Locale.ROOT);
      if (header.startsWith("content-length:")) {
        bodyLength = Integer.parseInt(header.substring("content-length:".length()).trim());
      }
    }
    reader.skip(bodyLength);
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "keep-alive-server");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
