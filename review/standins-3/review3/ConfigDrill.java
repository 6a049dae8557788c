package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The store is away for a moment and comes back from a copy some seconds old. Then the operator
 * writes a configuration that moves a route to another service, and announces versions of adapters.
 * Checks that each process follows the configuration.
 */
public final class ConfigDrill {

  private static final String OLD = "portal-old";
  private static final String NEW = "portal-new";
  private static final long WARM_UP_MS = 6_000;
  private static final long AWAY_MS = 600;
  private static final long COPY_AGE_MS = 4_000;

  /** The bound, its longest stretch and a second. */
  private static final long APPLIED_MS = 2_000 + 5_000 + 1_000;

  private static final long CHECKED_MS = 10_000;
  private static final long REQUEST_MS = 100;
  private static final long OPERATOR_WRITE_MS = 4;
  private static final int ANNOUNCED_ADAPTERS = 40;

  private ConfigDrill() {}

  /** Arguments: the folder of the case, and whether there is a drill (1 or 0). */
  public static void main(String[] arguments) throws Exception {
    Play.run(arguments, ConfigDrill::play);
  }

  private static int play(Play play) throws Exception {
    Record record = play.record();
    Store store = play.store();
    store.write("op", "config", configuration(1, OLD));
    play.closeLater(new Engine("w-a", "almaty-a", true, store, record));
    for (String service : List.of(OLD, NEW)) {
      for (String zone : List.of("a", "b")) {
        String id = service + "-" + zone;
        play.closeLater(new Portal(id, service, "almaty-" + zone, store, record));
      }
    }
    play.startNodes();
    store.takeCopies();
    Thread.sleep(WARM_UP_MS);
    if (play.hasTrouble()) {
      play.drill(AWAY_MS, COPY_AGE_MS);
    }
    store.write("op", "config", configuration(2, NEW));
    long acknowledgedMs = record.nowMs();
    record.add("configuration 2 acknowledged, store at version %d", store.version());
    announceVersions(store);
    record.add("versions announced, store at version %d", store.version());

    play.sleepUntil(acknowledgedMs + APPLIED_MS);
    Map<String, Integer> byOld = new TreeMap<>();
    Map<String, Integer> byNew = new TreeMap<>();
    int number = 0;
    while (record.nowMs() < acknowledgedMs + APPLIED_MS + CHECKED_MS) {
      for (Node node : play.nodes()) {
        String service = call(node.front(), ++number);
        record.add("answer %d of %s: %s", number, node.name(), service);
        switch (service) {
          case OLD -> byOld.merge(node.name(), 1, Integer::sum);
          case NEW -> byNew.merge(node.name(), 1, Integer::sum);
          default -> {}
        }
      }
      Thread.sleep(REQUEST_MS);
    }
    record.add("run by the new service: %s", byNew);
    record.add("run by the old service: %s", byOld);
    play.recordLogs("configuration_in_force", "store_lost", "store_regained");
    if (!byOld.isEmpty()) {
      return Play.BROKEN;
    }
    return byNew.size() == play.nodes().size() ? Play.HELD : Play.NOT_RUN;
  }

  private static void announceVersions(Store store) throws InterruptedException {
    for (int adapter = 1; adapter <= ANNOUNCED_ADAPTERS; adapter++) {
      Thread.sleep(OPERATOR_WRITE_MS);
      store.write(
          "op",
          "version/" + Engine.MODEL + ".a" + adapter,
          Json.object("model", Engine.MODEL, "adapter", "a" + adapter, "version", 2));
    }
  }

  /** Sends a request and returns the body of a success, or the status of another answer. */
  private static String call(InetSocketAddress front, int number) {
    String request =
        "GET /stock/check HTTP/1.1\r\nHost: ops.example\r\nX-Request-Id: "
            + String.format("%016x", number)
            + "\r\nX-Deadline-Ms: 600\r\nConnection: close\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.connect(front, 1_000);
      socket.setSoTimeout(2_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      boolean isSuccess = answer.startsWith("HTTP/1.1 200");
      return isSuccess
          ? answer.substring(answer.indexOf("\r\n\r\n") + 4)
          : "status " + answer.substring(0, Math.min(12, answer.length()));
    } catch (IOException e) {
      return "no answer: " + e.getMessage();
    }
  }

  private static Map<String, Object> configuration(int version, String service) {
    Map<String, Object> route =
        Json.object(
            "name", "stock-check", "host", "ops.example", "prefix", "/stock/",
            "kind", "idempotent", "timeoutMs", 600, "targetLatencyMs", 121,
            "maxAttempts", 2, "priority", 2, "service", service);
    return Play.configuration(version, route, List.of(OLD, NEW));
  }
}
