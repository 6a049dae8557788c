import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Two of six model workers answer with many short header lines, and with trailers that do not end.
 */
final class HeadLines {
  private static final int MODEL_WORKERS = 6;
  private static final int FAULTY_WORKERS = 2;
  private static final int ADAPTERS_PER_WORKER = 6;
  private static final long STREAM_TIMEOUT_MS = 15_000;
  private static final long SEND_PERIOD_MS = 25;
  private static final int PORTAL_CLIENTS = 24;
  private static final long ORDER_PAUSE_MS = 100;
  private static final int INSTANCES = 3;
  private static final long RUN_MS = 30_000;

  /** Requests without an answer that the rule allows. */
  private static final int MAX_LOST = 3;

  /** A stream of the small deployments: 57 events of three tokens, the first one after 0.2 s. */
  private static final Worker.Behavior STREAM = Worker.soundStream(200, 57, 27);

  private static final String LINE = "a:\r\n";
  private static final int LINES_AT_ONCE = 300;
  private static final int MAX_FAST_BYTES = 64_000;

  private final Rig rig;
  private final Set<String> runAtSound = ConcurrentHashMap.newKeySet();
  private final Collection<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final Map<Node, Queue<Client>> idleClientsByNode = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  private HeadLines(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments[0], HeadLines::run);
  }

  private static int run(Rig rig) throws Exception {
    ObjectNode config = Rig.configuration(7);
    Rig.addRoute(config, "order", "non_idempotent", "member-portal", 600);
    Rig.addRoute(config, "summary", "stream", "drafting-models", STREAM_TIMEOUT_MS)
        .put("targetLatencyMs", 800)
        .put("sticky", true)
        .put("resumable", false)
        .put("gapAimMs", 300);
    rig.store.put("op", "config", config);
    HeadLines played = new HeadLines(rig);
    for (int i = 1; i <= INSTANCES; i++) {
      rig.addNode("front-almaty-a-" + i, rig.store.address());
    }
    for (int i = 0; i < 3; i++) {
      rig.addWorker("i-portal-" + i, "member-portal", false, Set.of(), played.sound(Worker.sound(85)));
    }
    for (int i = 0; i < MODEL_WORKERS; i++) {
      Set<String> adapters = new TreeSet<>();
      for (int k = 0; k < ADAPTERS_PER_WORKER; k++) {
        adapters.add("a" + (i * ADAPTERS_PER_WORKER + k) + "@1");
      }
      boolean isFaulty = Rig.TROUBLE && i < FAULTY_WORKERS;
      Worker.Behavior behavior = isFaulty ? HeadLines::answer : played.sound(STREAM);
      rig.addWorker("i-model-" + i, "drafting-models", true, adapters, behavior);
    }
    rig.awaitReady();
    return played.play();
  }

  private Worker.Behavior sound(Worker.Behavior behavior) {
    return (worker, request, out) -> {
      runAtSound.add(request.header("x-request-id"));
      return behavior.answer(worker, request, out);
    };
  }

  private int play() throws InterruptedException {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < PORTAL_CLIENTS; i++) {
        Node node = rig.nodes.get(i % INSTANCES);
        executor.submit(() -> sendOrders(node));
      }
      Random random = new Random(1);
      long endMs = RunRecord.nowMs() + RUN_MS;
      for (int i = 0; endedInstances() == 0 && RunRecord.nowMs() < endMs; i++) {
        Node node = rig.nodes.get(i % INSTANCES);
        int adapter = random.nextInt(MODEL_WORKERS * ADAPTERS_PER_WORKER);
        executor.submit(() -> sendStream(node, adapter));
        Thread.sleep(SEND_PERIOD_MS);
      }
      stopped = true;
    }
    List<Client.Outcome> cut =
        outcomes.stream().filter(o -> !o.isComplete() && runAtSound.contains(o.id())).toList();
    long lost = cut.stream().filter(outcome -> outcome.status() == 0).count();
    rig.record.say(
        "processes ended: %d, requests run by sound workers whose connection was closed without an"
                .formatted(endedInstances())
            + " answer: %d, and inside the answer: %d".formatted(lost, cut.size() - lost));
    return endedInstances() > 0 && lost > MAX_LOST ? Rig.BROKEN : Rig.HELD;
  }

  private long endedInstances() {
    return rig.nodes.stream().filter(node -> !node.isRunning()).count();
  }

  private Void sendOrders(Node node) throws InterruptedException {
    while (!stopped && node.isRunning()) {
      send(node, "/order/2f", "", 600);
      Thread.sleep(ORDER_PAUSE_MS);
    }
    return null;
  }

  private void sendStream(Node node, int adapter) {
    String headers =
        "X-Model: m0/a%d\r\nX-Token-Count: 1460,57\r\n".formatted(adapter)
            + "X-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,e4402b7d:1110\r\n";
    send(node, "/summary/2f", headers, STREAM_TIMEOUT_MS);
  }

  /** Sends a request on a connection that was used before, if one is idle. */
  private void send(Node node, String path, String headers, long deadlineMs) {
    Queue<Client> idleClients =
        idleClientsByNode.computeIfAbsent(node, key -> new ConcurrentLinkedQueue<>());
    Client idle = idleClients.poll();
    Client client = idle == null ? new Client(rig.record, node.front()) : idle;
    Client.Outcome outcome =
        client.send(Client.newId(), "POST", path, headers, deadlineMs, STREAM_TIMEOUT_MS);
    outcomes.add(outcome);
    if (outcome.isComplete()) {
      idleClients.add(client);
    } else {
      client.close();
    }
  }

  /** Answers with a head of many lines, and with trailers that do not end until it is closed. */
  private static boolean answer(Worker worker, Worker.Request request, OutputStream out)
      throws IOException, InterruptedException {
    worker.recordRun(request);
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    out.write((head + worker.signed(request)).getBytes(StandardCharsets.US_ASCII));
    writeLines(out);
    out.write("\r\n0\r\n".getBytes(StandardCharsets.US_ASCII));
    writeLines(out);
    while (true) {
      out.write(LINE.getBytes(StandardCharsets.US_ASCII));
      out.flush();
      Thread.sleep(500);
    }
  }

  private static void writeLines(OutputStream out) throws IOException, InterruptedException {
    byte[] lines = LINE.repeat(LINES_AT_ONCE).getBytes(StandardCharsets.US_ASCII);
    for (int bytes = 0; bytes < MAX_FAST_BYTES; bytes += lines.length) {
      out.write(lines);
      out.flush();
      Thread.sleep(20);
    }
  }
}
