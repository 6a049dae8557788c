import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A small deployment on loopback addresses: a store, workers and instances. */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;
  /** Time after which a case that has not ended counts as not run. */
  private static final long MAX_RUN_MS = 110_000;

  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final RunRecord record;
  final Store store;
  final List<Node> nodes = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  private final Path folder;
  private final String network;
  private int addresses = 10;

  /** Runs a case and ends this program with its result. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  Rig(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    long pid = ProcessHandle.current().pid();
    network = "127.%d.%d.".formatted(20 + pid / 250 % 200, 1 + pid % 250);
    record = new RunRecord(recordFile);
    store = new Store(nextIp());
  }

  static void main(String recordFile, Case body) throws IOException {
    int result = NOT_RUN;
    try (Rig rig = new Rig(Path.of(recordFile))) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.nodes.forEach(Node::close)));
      Thread.ofPlatform().daemon().start(Rig::endWhenOverdue);
      try {
        rig.record.say("trouble: " + TROUBLE + ", logs: " + rig.folder);
        result = body.run(rig);
      } catch (Exception e) {
        rig.record.say("the case could not run: " + e);
        e.printStackTrace();
      }
      rig.record.say("result: " + result);
    }
    System.exit(result);
  }

  private static void endWhenOverdue() {
    try {
      Thread.sleep(MAX_RUN_MS);
      System.exit(NOT_RUN);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a loopback address that nothing else of this run uses. */
  String nextIp() {
    return network + addresses++;
  }

  Worker addWorker(
      String id, String service, boolean isEngine, Set<String> adapters, Worker.Behavior behavior)
      throws IOException {
    Worker worker =
        new Worker(id, nextIp(), service, isEngine, adapters, store, record, behavior);
    workers.add(worker);
    return worker;
  }

  Node addNode(String name, InetSocketAddress storeAddress) throws IOException {
    Node node = new Node(name, nextIp(), storeAddress, folder);
    nodes.add(node);
    return node;
  }

  void awaitReady() throws InterruptedException {
    for (Node node : nodes) {
      node.awaitReady();
    }
    // Traffic starts 15 s after the machines do; a few seconds suffice for these small fleets.
    Thread.sleep(6_000);
  }

  /** Returns a configuration with the limits and services of the small deployments. */
  static ObjectNode configuration(long version) {
    ObjectNode config = Store.JSON.createObjectNode().put("version", version);
    config.putArray("routes");
    ArrayNode services = config.putArray("services");
    ObjectNode models =
        services.addObject().put("name", "drafting-models").put("healthPath", "/health");
    models.put("maxConns", 360).put("protocol", "h1").put("tls", false);
    ObjectNode engine = models.putObject("engine").put("slots", 64).put("kvCapacity", 122_239);
    engine.put("weightsMb", 75_300.0).put("adapterSlots", 17).put("loadsPerS", 2.1);
    ObjectNode model = engine.putArray("models").addObject().put("name", "m0");
    model.put("weightsMb", 72_700.0).put("loadS", 5.7).put("adapters", 3_000).put("adapterMb", 66.0);
    for (String name : List.of("member-portal", "member-portal-2")) {
      ObjectNode portal = services.addObject().put("name", name).put("healthPath", "/health");
      portal.put("maxConns", 100).put("protocol", "h1").put("tls", false);
    }
    ObjectNode limits = config.putObject("limits").put("maxHeaderBytes", 16_384);
    limits.put("maxBodyBytes", 4_194_304).put("headerTimeoutMs", 3_000);
    limits.put("idleTimeoutMs", 15_000);
    return config;
  }

  static ObjectNode addRoute(
      ObjectNode config, String name, String kind, String service, long timeoutMs) {
    ObjectNode route = ((ArrayNode) config.get("routes")).addObject().put("name", name);
    route.put("host", Client.HOST).put("prefix", "/" + name + "/").put("kind", kind);
    route.put("timeoutMs", timeoutMs).put("targetLatencyMs", 100).put("priority", 1);
    return route.put("service", service).put("maxAttempts", 1);
  }

  @Override
  public void close() {
    nodes.forEach(Node::close);
    workers.forEach(Worker::close);
    store.close();
    record.close();
  }
}
