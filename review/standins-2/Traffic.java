import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Sends requests at a steady rate to each instance in rotation. As on the platform, an instance
 * leaves the rotation after two checks in a row without a 200, and comes back with the next 200.
 */
final class Traffic implements AutoCloseable {
  private static final long CHECK_PERIOD_MS = 1_000;

  private final Rig rig;
  private final String method;
  private final String path;
  private final long deadlineMs;
  private final long patienceMs;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Collection<Future<Client.Outcome>> outcomes = new ConcurrentLinkedQueue<>();
  private final Map<String, Node> nodesById = new ConcurrentHashMap<>();
  private final Set<Node> outOfRotation = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;

  Traffic(Rig rig, String method, String path, long deadlineMs, long patienceMs) {
    this.rig = rig;
    this.method = method;
    this.path = path;
    this.deadlineMs = deadlineMs;
    this.patienceMs = patienceMs;
  }

  /** Starts to send one request to each instance in each period. */
  void start(long periodMs) {
    rig.nodes.forEach(
        node -> {
          executor.submit(() -> check(node));
          executor.submit(() -> sendTo(node, periodMs));
        });
  }

  private Void check(Node node) throws InterruptedException {
    int misses = 0;
    while (!stopped) {
      long dueMs = RunRecord.nowMs() + CHECK_PERIOD_MS;
      boolean isReady = node.isReady();
      misses = isReady ? 0 : misses + 1;
      boolean isChanged =
          misses >= 2 ? outOfRotation.add(node) : isReady && outOfRotation.remove(node);
      if (isChanged) {
        rig.record.add("rotation", "node", node.name, "in", misses < 2);
      }
      Thread.sleep(Math.max(1, dueMs - RunRecord.nowMs()));
    }
    return null;
  }

  private Void sendTo(Node node, long periodMs) throws InterruptedException {
    while (!stopped) {
      if (!outOfRotation.contains(node)) {
        outcomes.add(executor.submit(() -> send(node)));
      }
      Thread.sleep(periodMs);
    }
    return null;
  }

  private Client.Outcome send(Node node) {
    String id = Client.newId();
    nodesById.put(id, node);
    return Client.sendAlone(
        rig.record, id, node.front(), method, path, "", deadlineMs, patienceMs);
  }

  /** Returns the instance that a request was sent to; null if this traffic did not send it. */
  Node nodeOf(String id) {
    return nodesById.get(id);
  }

  /** Sends nothing more and returns what became of all requests. */
  List<Client.Outcome> stop() throws Exception {
    stopped = true;
    List<Client.Outcome> ended = new ArrayList<>();
    for (Future<Client.Outcome> outcome : outcomes) {
      ended.add(outcome.get());
    }
    return ended;
  }

  /** Returns the ids among those given that were sent within a span of time. */
  static Set<String> idsSentAfter(List<Client.Outcome> outcomes, long fromMs) {
    Set<String> ids = new HashSet<>();
    outcomes.stream().filter(o -> o.sentMs() > fromMs).forEach(o -> ids.add(o.id()));
    return ids;
  }

  @Override
  public void close() {
    stopped = true;
    executor.shutdownNow();
  }
}
