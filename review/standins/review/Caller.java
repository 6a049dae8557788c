package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One connection of a client, which sends one request at a time. */
final class Caller implements AutoCloseable {

  private final Socket socket = new Socket();
  private final InputStream input;
  private boolean reusable = true;

  /** A complete answer. */
  record Answer(int status, Map<String, String> headers, byte[] body) {}

  Caller(String host, int port, int connectTimeoutMs) throws IOException {
    try {
      socket.connect(new InetSocketAddress(host, port), connectTimeoutMs);
      socket.setTcpNoDelay(true);
      input = new BufferedInputStream(socket.getInputStream());
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns whether the last answer allows another request. */
  boolean isReusable() {
    return reusable;
  }

  /**
   * Sends a request and returns its complete answer.
   *
   * @throws SocketTimeoutException when the time is over
   * @throws IOException when the connection ends without a complete answer
   */
  Answer call(String method, String path, Map<String, String> headers, byte[] body, long timeoutMs)
      throws IOException {
    long untilMs = Clock.nowMs() + timeoutMs;
    reusable = false;
    send(method, path, headers, body);
    return read(untilMs);
  }

  private void send(String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: " + body.length + "\r\n");
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII));
    bytes.write(body);
    socket.getOutputStream().write(bytes.toByteArray());
  }

  private Answer read(long untilMs) throws IOException {
    String statusLine = readLine(untilMs);
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(untilMs); !line.isEmpty(); line = readLine(untilMs)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      for (int size = readChunkSize(untilMs); size > 0; size = readChunkSize(untilMs)) {
        readBytes(body, size, untilMs);
        readLine(untilMs);
      }
      readLine(untilMs);
    } else {
      readBytes(body, Integer.parseInt(headers.getOrDefault("content-length", "0")), untilMs);
    }
    reusable = !"close".equalsIgnoreCase(headers.get("connection"));
    return new Answer(Integer.parseInt(statusLine.split(" ")[1]), headers, body.toByteArray());
  }

  private int readChunkSize(long untilMs) throws IOException {
    return Integer.parseInt(readLine(untilMs).trim(), 16);
  }

  private void readBytes(ByteArrayOutputStream body, int size, long untilMs) throws IOException {
    for (int i = 0; i < size; i++) {
      body.write(readByte(untilMs));
    }
  }

  private String readLine(long untilMs) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = readByte(untilMs); next != '\n'; next = readByte(untilMs)) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  private int readByte(long untilMs) throws IOException {
    if (input.available() == 0) {
      long leftMs = untilMs - Clock.nowMs();
      if (leftMs <= 0) {
        throw new SocketTimeoutException("the time is over");
      }
      socket.setSoTimeout((int) leftMs);
    }
    int next = input.read();
    if (next < 0) {
      throw new EOFException("the connection was closed");
    }
    return next;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
