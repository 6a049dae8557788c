import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One answer on a stream goes on without an end and without a line end. The second argument tells
 * whether the route may be resumed, the third how long each chunk is.
 */
final class Endless {
  private static final long PORTAL_TIMEOUT_MS = 600;
  private static final long STREAM_TIMEOUT_MS = 15_000;
  private static final long SLACK_MS = 500;
  private static final long CLIENT_PATIENCE_MS = 5_000;
  private static final long SEND_PERIOD_MS = 100;
  private static final long BEFORE_MS = 5_000;
  private static final long AFTER_MS = 20_000;
  /** Requests that the rule needs. */
  private static final int MIN_UNANSWERED = 8;

  private static final String STREAM_HEADERS =
      "X-Model: m0/a1\r\nX-Token-Count: 1460,57\r\n"
          + "X-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,e4402b7d:1110\r\n";

  private static final AtomicBoolean HAS_GONE_WRONG = new AtomicBoolean();

  private Endless() {}

  public static void main(String[] arguments) throws IOException {
    boolean isResumable = Boolean.parseBoolean(arguments[1]);
    String piece = "x".repeat(Integer.parseInt(arguments[2]));
    Rig.main(arguments[0], rig -> run(rig, isResumable, piece));
  }

  private static int run(Rig rig, boolean isResumable, String piece) throws Exception {
    ObjectNode config = Rig.configuration(7);
    Rig.addRoute(config, "stock", "idempotent", "member-portal", PORTAL_TIMEOUT_MS)
        .put("maxAttempts", 2);
    Rig.addRoute(config, "summary", "stream", "drafting-models", STREAM_TIMEOUT_MS)
        .put("targetLatencyMs", 800)
        .put("maxAttempts", isResumable ? 2 : 1)
        .put("sticky", true)
        .put("resumable", isResumable)
        .put("gapAimMs", 300);
    rig.store.put("op", "config", config);
    Worker.Behavior model =
        Rig.TROUBLE
            ? (worker, request, out) -> answer(worker, request, out, piece)
            : Worker.soundStream(19, 30);
    for (int i = 0; i < 3; i++) {
      rig.addWorker("i-portal-" + i, "member-portal", false, Set.of(), Worker.sound(20));
      rig.addWorker("i-model-" + i, "drafting-models", true, Set.of("a1@1"), model);
    }
    Node node = rig.addNode("front-almaty-a-1", rig.store.address());
    rig.addNode("front-almaty-a-2", rig.store.address());
    rig.awaitReady();
    try (Traffic traffic =
        new Traffic(rig, "GET", "/stock/2f", PORTAL_TIMEOUT_MS, CLIENT_PATIENCE_MS)) {
      traffic.start(SEND_PERIOD_MS);
      Thread.sleep(BEFORE_MS);
      CompletableFuture<Client.Outcome> stream = sendStream(rig, node);
      Thread.sleep(AFTER_MS);
      return judge(rig, traffic.stop(), stream);
    }
  }

  private static CompletableFuture<Client.Outcome> sendStream(Rig rig, Node node) {
    return CompletableFuture.supplyAsync(
        () ->
            Client.sendAlone(
                rig.record,
                Client.newId(),
                node.front(),
                "POST",
                "/summary/2f",
                STREAM_HEADERS,
                STREAM_TIMEOUT_MS,
                STREAM_TIMEOUT_MS));
  }

  private static int judge(
      Rig rig, List<Client.Outcome> portal, CompletableFuture<Client.Outcome> stream) {
    long late = portal.stream().filter(o -> o.tookMs() > PORTAL_TIMEOUT_MS).count();
    long unanswered =
        portal.stream().filter(o -> o.tookMs() > PORTAL_TIMEOUT_MS + SLACK_MS).count();
    rig.record.say(
        "portal requests: %d, unanswered at the timeout: %d, and half a second later: %d"
            .formatted(portal.size(), late, unanswered));
    Client.Outcome end = stream.getNow(null);
    rig.record.say(
        end == null
            ? "the stream has not ended"
            : "the stream ended with status %d after %d ms".formatted(end.status(), end.tookMs()));
    return unanswered >= MIN_UNANSWERED && 2 * unanswered > late ? Rig.BROKEN : Rig.HELD;
  }

  /** Answers the first request with bytes without end, and all others as a sound worker does. */
  private static boolean answer(
      Worker worker, Worker.Request request, OutputStream out, String piece)
      throws IOException, InterruptedException {
    if (!HAS_GONE_WRONG.compareAndSet(false, true)) {
      return Worker.soundStream(19, 30).answer(worker, request, out);
    }
    worker.recordRun(request);
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    out.write((head + worker.signed(request) + "\r\n").getBytes(StandardCharsets.US_ASCII));
    Worker.writeChunk(out, "id: 1\ndata: ");
    while (true) {
      // Fails as soon as the caller has closed the connection.
      Worker.writeChunk(out, piece);
    }
  }
}
