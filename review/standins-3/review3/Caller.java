package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Client that asks for streams of adapters, one request on each connection. */
final class Caller {

  private static final int DEADLINE_MS = 8_000;
  private static final int ADAPTERS = 3_000;

  private final Record record;
  private final AtomicLong lastNumber = new AtomicLong();
  private final Random random = new Random(50);

  Caller(Record record) {
    this.record = record;
  }

  /** Sends a request for a random adapter in the background. */
  void send(InetSocketAddress front) {
    long number = lastNumber.incrementAndGet();
    int adapter = 1 + random.nextInt(ADAPTERS);
    Thread.ofVirtual().start(() -> call(front, number, adapter));
  }

  private void call(InetSocketAddress front, long number, int adapter) {
    String id = String.format("%016x", number);
    String request =
        "POST /letters/x HTTP/1.1\r\nHost: ops.example\r\nX-Request-Id: " + id
            + "\r\nX-Model: " + Engine.MODEL + "/a" + adapter
            + "\r\nX-Token-Count: 491,69\r\nX-Prompt-Prefix: " + Long.toHexString(7_000 + number)
            + ":491\r\nX-Deadline-Ms: " + DEADLINE_MS
            + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}";
    String status;
    try (Socket socket = new Socket()) {
      socket.connect(front, 1_000);
      socket.setSoTimeout(DEADLINE_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      status = answer.length() < 12 ? "closed" : answer.substring(9, 12);
    } catch (IOException e) {
      status = "no answer: " + e.getMessage();
    }
    record.add("answer %s adapter a%d status %s", id, adapter, status);
  }
}
