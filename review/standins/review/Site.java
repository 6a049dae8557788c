package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** What each case needs: the store, the workers and the processes of a small deployment. */
final class Site implements AutoCloseable {

  static final String HOST = "site.example";
  static final String ZONE = "zone-a";

  final Record record;
  final Store store;
  final List<Instance> instances = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  private final Path folder;
  private final String network;

  Site(Path caseFolder) throws IOException {
    Random random = new Random();
    network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    folder = Files.createTempDirectory("review");
    record = new Record(caseFolder.resolve("record.txt"));
    store = new Store(network + "1");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Adds workers of a service and registers them. */
  void addWorkers(String service, int count, int slots, long workMs, List<String> models)
      throws IOException {
    for (int i = 1; i <= count; i++) {
      String id = "i-" + service + i;
      Worker worker =
          new Worker(id, service, network + (100 + workers.size()), slots, workMs, record);
      workers.add(worker);
      worker.register(store, ZONE, slots, models);
    }
  }

  /** Starts instances and waits until all are ready; returns whether they are. */
  boolean startInstances(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      Instance instance =
          new Instance("front-" + ZONE + "-" + i, network + (1 + i), ZONE, store.address(), folder);
      instances.add(instance);
      instance.start();
    }
    boolean ready = true;
    for (Instance instance : instances) {
      ready &= instance.awaitReady(20_000);
    }
    record.add("%d instances ready: %s", count, ready);
    return ready;
  }

  /** Returns a configuration without routes. */
  static ObjectNode config(long version) {
    ObjectNode config = Store.JSON.createObjectNode();
    config.put("version", version);
    config.putArray("routes");
    config.putArray("services");
    config
        .putObject("limits")
        .put("maxHeaderBytes", 16_384)
        .put("maxBodyBytes", 4_194_304)
        .put("headerTimeoutMs", 3_000)
        .put("idleTimeoutMs", 15_000);
    return config;
  }

  static void addRoute(
      ObjectNode config, String prefix, String kind, String service, long timeoutMs) {
    ((ArrayNode) config.get("routes"))
        .addObject()
        .put("name", "route" + prefix.replace('/', '-') + kind)
        .put("host", HOST)
        .put("prefix", prefix)
        .put("kind", kind)
        .put("service", service)
        .put("timeoutMs", timeoutMs)
        .put("targetLatencyMs", Math.min(timeoutMs, 121))
        .put("maxAttempts", 2)
        .put("priority", 0);
  }

  static ObjectNode addService(ObjectNode config, String name) {
    return ((ArrayNode) config.get("services"))
        .addObject()
        .put("name", name)
        .put("maxConns", 100)
        .put("healthPath", "/health");
  }

  /** Returns the worker at which a request began to run; null when it did not run. */
  Worker runnerOf(String request) {
    return workers.stream()
        .filter(worker -> worker.runs().containsKey(request))
        .findFirst()
        .orElse(null);
  }

  @Override
  public synchronized void close() {
    instances.forEach(Instance::close);
    workers.forEach(Worker::close);
    store.close();
    record.close();
    if (Files.exists(folder) && System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        System.err.println("not deleted: " + folder);
      }
    }
  }
}
