package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** One play of a case: the record, the store and the processes, which all end with it. */
final class Play {

  /** The rule held. */
  static final int HELD = 0;

  /** The rule was broken. */
  static final int BROKEN = 1;

  /** The case could not run. */
  static final int NOT_RUN = 2;

  private static final long START_TIMEOUT_MS = 20_000;

  private final Record record;
  private final Path temporary;
  private final boolean hasTrouble;
  private final Store store;
  private final List<AutoCloseable> started = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();

  /** What a case does; returns {@link #HELD}, {@link #BROKEN} or {@link #NOT_RUN}. */
  interface Scenario {
    int run(Play play) throws Exception;
  }

  private Play(Record record, Path temporary, boolean hasTrouble) throws IOException {
    this.record = record;
    this.temporary = temporary;
    this.hasTrouble = hasTrouble;
    this.store = closeLater(new Store(record, loopback("127.0.0.1", 0)));
  }

  /**
   * Runs a case and ends this process with its result.
   *
   * @param arguments the folder of the case, and whether there is a disruption (1 or 0)
   */
  static void run(String[] arguments, Scenario scenario) throws IOException {
    Path temporary = Files.createTempDirectory("review3");
    int exit = NOT_RUN;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      Play play = new Play(record, temporary, arguments[1].equals("1"));
      try {
        exit = scenario.run(play);
      } catch (Exception e) {
        record.add("the case failed: %s", e);
      } finally {
        play.close();
        record.add("exit %d", exit);
      }
    }
    delete(temporary);
    System.exit(exit);
  }

  private static InetSocketAddress loopback(String ip, int port) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip), port);
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }

  <T extends AutoCloseable> T closeLater(T opened) {
    started.add(opened);
    return opened;
  }

  Record record() {
    return record;
  }

  boolean hasTrouble() {
    return hasTrouble;
  }

  Store store() {
    return store;
  }

  List<Node> nodes() {
    return nodes;
  }

  /** Starts a process in each of three zones and waits until all are ready. */
  void startNodes() throws Exception {
    long pid = ProcessHandle.current().pid();
    for (String zone : List.of("a", "b", "c")) {
      String ip =
          "127.%d.%d.%d".formatted(30 + pid / 250 % 200, 1 + pid % 250, 10 + nodes.size());
      String name = "front-almaty-" + zone + "-1";
      nodes.add(closeLater(new Node(name, "almaty-" + zone, ip, store.address(), temporary)));
      nodes.getLast().start();
    }
    await("all processes are ready", () -> nodes.stream().allMatch(Node::isReady));
  }

  /** A state that a case waits for. */
  interface Condition {
    boolean holds();
  }

  void await(String what, Condition condition) throws InterruptedException {
    long untilMs = record.nowMs() + START_TIMEOUT_MS;
    while (!condition.holds()) {
      if (record.nowMs() > untilMs) {
        throw new IllegalStateException("not reached: " + what);
      }
      Thread.sleep(50);
    }
  }

  void sleepUntil(long atMs) throws InterruptedException {
    Thread.sleep(Math.max(0, atMs - record.nowMs()));
  }

  /** Lets the store be away for a time and come back from a copy of the given age. */
  void drill(long awayMs, long copyAgeMs) throws InterruptedException {
    long startMs = record.nowMs();
    store.goAway();
    Thread.sleep(awayMs);
    store.comeBack(startMs - copyAgeMs);
  }

  /** Records the lines of the logs of all processes that contain one of the words. */
  void recordLogs(String... words) throws IOException {
    for (Node node : nodes) {
      node.logLines(words).forEach(line -> record.add("log %s: %s", node.name(), line));
    }
  }

  /** Returns a configuration with one route, the model workers and further services. */
  static Map<String, Object> configuration(
      int version, Map<String, Object> route, List<String> plainServices) {
    List<Object> services = new ArrayList<>();
    for (String name : plainServices) {
      services.add(Json.object("name", name, "maxConns", 100, "healthPath", "/health"));
    }
    Map<String, Object> model =
        Json.object(
            "name", Engine.MODEL, "weightsMb", 72_700.0, "loadS", 5.7, "adapters", 3_000,
            "adapterMb", 66.0);
    Map<String, Object> engine =
        Json.object(
            "slots", Engine.SLOTS, "weightsMb", 75_300.0, "adapterSlots", Engine.ADAPTER_SLOTS,
            "models", List.of(model));
    services.add(
        Json.object(
            "name", Engine.SERVICE, "maxConns", 360, "healthPath", "/health", "engine", engine));
    return Json.object(
        "version", version,
        "routes", List.of(route),
        "services", services,
        "limits",
            Json.object(
                "maxHeaderBytes", 16_384, "maxBodyBytes", 4_194_304, "headerTimeoutMs", 3_000,
                "idleTimeoutMs", 15_000));
  }

  /** Returns the route of the letters, which are streams of the model workers. */
  static Map<String, Object> letterRoute() {
    return Json.object(
        "name", "compliance-letter", "host", "ops.example", "prefix", "/letters/",
        "kind", "stream", "timeoutMs", 8_000, "targetLatencyMs", 600, "gapAimMs", 300,
        "maxAttempts", 1, "priority", 0, "sticky", true, "service", Engine.SERVICE);
  }

  private void close() throws IOException {
    for (AutoCloseable each : started.reversed()) {
      try {
        each.close();
      } catch (Exception e) {
        record.add("not closed: %s", e);
      }
    }
  }
}
