import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** A client that has one request at a time on a connection, and waits for the whole answer. */
final class Client implements AutoCloseable {
  static final String HOST = "portal.example";
  private static final AtomicLong NUMBER = new AtomicLong();

  private final RunRecord record;
  private final InetSocketAddress front;
  private final Socket socket = new Socket();
  private InputStream in;

  /**
   * What became of a request.
   *
   * @param status status of the answer; 0 without an answer
   * @param isComplete whether the whole answer has arrived
   * @param sentMs time at which it was sent
   * @param tookMs time until the end of the answer, or until the client gave up
   */
  record Outcome(String id, int status, boolean isComplete, long sentMs, long tookMs) {}

  Client(RunRecord record, InetSocketAddress front) {
    this.record = record;
    this.front = front;
  }

  /** Returns an id that no other request has. */
  static String newId() {
    return "%016x".formatted(0x9c41d07b00000000L + NUMBER.incrementAndGet());
  }

  /** Sends a request on a connection of its own. */
  static Outcome sendAlone(
      RunRecord record,
      String id,
      InetSocketAddress front,
      String method,
      String path,
      String headers,
      long deadlineMs,
      long patienceMs) {
    try (Client client = new Client(record, front)) {
      return client.send(id, method, path, headers, deadlineMs, patienceMs);
    }
  }

  /**
   * Sends a request.
   *
   * @param headers other header lines, each with its end
   * @param deadlineMs time that the request states
   * @param patienceMs time after which the client gives up
   */
  Outcome send(
      String id,
      String method,
      String path,
      String headers,
      long deadlineMs,
      long patienceMs) {
    long sentMs = RunRecord.nowMs();
    record.add("sent", "id", id, "to", front.getHostString(), "path", path);
    int status = 0;
    String end = "complete";
    try {
      if (in == null) {
        socket.connect(front, (int) patienceMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout((int) Math.max(1, sentMs + patienceMs - RunRecord.nowMs()));
      String body = method.equals("POST") ? "Content-Length: 2\r\n\r\n{}" : "\r\n";
      String request =
          "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s"
              .formatted(method, path, HOST, id, deadlineMs, headers, body);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String first = Worker.line(in);
      if (first == null) {
        throw new IOException("closed without an answer");
      }
      status = Integer.parseInt(first.split(" ")[1]);
      readBody(readHeaders());
    } catch (SocketTimeoutException e) {
      end = "given_up";
    } catch (IOException e) {
      end = String.valueOf(e.getMessage()).replace(' ', '_');
    }
    long tookMs = RunRecord.nowMs() - sentMs;
    record.add("answered", "id", id, "status", status, "end", end, "took_ms", tookMs);
    return new Outcome(id, status, end.equals("complete"), sentMs, tookMs);
  }

  private Map<String, String> readHeaders() throws IOException {
    Map<String, String> headers = new TreeMap<>();
    for (String line = Worker.line(in); line != null && !line.isEmpty(); line = Worker.line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private void readBody(Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      for (int length = readChunk(); length > 0; length = readChunk()) {
        // The content is of no interest.
      }
    } else if (headers.containsKey("content-length")) {
      readFully(Integer.parseInt(headers.get("content-length")));
    } else {
      in.readAllBytes();
    }
  }

  private int readChunk() throws IOException {
    String size = Worker.line(in);
    if (size == null) {
      throw new IOException("chunks end early");
    }
    int length = Integer.parseInt(size.trim(), 16);
    readFully(length);
    Worker.line(in);
    return length;
  }

  private void readFully(int length) throws IOException {
    if (in.readNBytes(length).length < length) {
      throw new IOException("body ends early");
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing more can be done about a connection that does not close.
    }
  }
}
