package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Workers answer with streams that have neither a length nor chunks. One process of the system is
 * killed while it passes such streams on. Checks that no stream that ended early looks complete.
 */
public final class KilledStream {

  private static final int STREAMS = 12;
  private static final int ADAPTERS = 4;
  private static final int DEADLINE_MS = 8_000;
  private static final long WARM_UP_MS = 3_000;
  private static final long STREAM_GAP_MS = 20;
  private static final long KILL_AFTER_MS = 1_500;

  private final Record record;
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger mistaken = new AtomicInteger();

  private KilledStream(Record record) {
    this.record = record;
  }

  /** Arguments: the folder of the case, and whether a process is killed (1 or 0). */
  public static void main(String[] arguments) throws Exception {
    Play.run(arguments, play -> new KilledStream(play.record()).play(play));
  }

  private int play(Play play) throws Exception {
    Store store = play.store();
    store.write("op", "config", Play.configuration(1, Play.letterRoute(), List.of()));
    List<String> adapters = IntStream.rangeClosed(1, ADAPTERS).mapToObj(i -> "a" + i).toList();
    for (String zone : List.of("a", "b", "c")) {
      play.closeLater(new BareEngine("w-" + zone, "almaty-" + zone, adapters, store, record));
    }
    play.startNodes();
    Thread.sleep(WARM_UP_MS);
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      int number = i;
      InetSocketAddress front = play.nodes().get(i % play.nodes().size()).front();
      callers.add(Thread.ofVirtual().start(() -> call(front, number)));
      Thread.sleep(STREAM_GAP_MS);
    }
    Thread.sleep(KILL_AFTER_MS);
    if (play.hasTrouble()) {
      record.add("%s is killed", play.nodes().getFirst().name());
      play.nodes().getFirst().close();
    }
    for (Thread caller : callers) {
      caller.join();
    }
    record.add(
        "complete %d, seen to be broken off %d, ended early and look complete %d",
        complete.get(), broken.get(), mistaken.get());
    boolean isCut = broken.get() + mistaken.get() > 0;
    if (complete.get() == 0 || isCut != play.hasTrouble()) {
      return Play.NOT_RUN;
    }
    return mistaken.get() == 0 ? Play.HELD : Play.BROKEN;
  }

  /** Reads one stream as HTTP tells: without a length and chunks it ends with its connection. */
  private void call(InetSocketAddress front, int number) {
    String id = String.format("%016x", number + 1);
    String request =
        "POST /letters/x HTTP/1.1\r\nHost: ops.example\r\nX-Request-Id: " + id
            + "\r\nX-Model: " + Engine.MODEL + "/a" + (1 + number % ADAPTERS)
            + "\r\nX-Token-Count: 491,69\r\nX-Prompt-Prefix: " + Long.toHexString(7_000 + number)
            + ":491\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\n{}";
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    String end = "the connection ended";
    boolean isCleanEnd = true;
    try (Socket socket = new Socket()) {
      socket.connect(front, 1_000);
      socket.setSoTimeout(DEADLINE_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] part = new byte[4_096];
      int length = socket.getInputStream().read(part);
      while (length > 0) {
        received.write(part, 0, length);
        length = isWhole(received.toString(StandardCharsets.US_ASCII))
            ? -1
            : socket.getInputStream().read(part);
      }
    } catch (IOException e) {
      end = "error: " + e.getMessage();
      isCleanEnd = false;
    }
    judge(id, front, received.toString(StandardCharsets.US_ASCII), isCleanEnd, end);
  }

  private void judge(
      String id, InetSocketAddress front, String answer, boolean isCleanEnd, String end) {
    String head = answer.split("\r\n\r\n", 2)[0];
    int events = answer.split("data: token\n\n", -1).length - 1;
    boolean endsAtEvent = isFramed(head) ? isWhole(answer) : answer.endsWith("\n\n");
    boolean looksComplete = head.startsWith("HTTP/1.1 200") && isCleanEnd && endsAtEvent;
    String outcome;
    if (looksComplete && events == BareEngine.EVENTS) {
      complete.incrementAndGet();
      outcome = "complete";
    } else if (looksComplete) {
      mistaken.incrementAndGet();
      outcome = "ENDED EARLY AND LOOKS COMPLETE";
    } else {
      broken.incrementAndGet();
      outcome = "broken off";
    }
    record.add(
        "answer %s of %s: %s, %d of %d events, %s, head %s",
        id, front, outcome, events, BareEngine.EVENTS, end, head.replace("\r\n", " | "));
  }

  private static boolean isFramed(String head) {
    String lower = head.toLowerCase(Locale.ROOT);
    return lower.contains("\ntransfer-encoding: chunked") || lower.contains("\ncontent-length:");
  }

  /** Returns whether an answer in chunks has its last one. */
  private static boolean isWhole(String answer) {
    return isFramed(answer.split("\r\n\r\n", 2)[0]) && answer.endsWith("\r\n0\r\n\r\n");
  }
}
