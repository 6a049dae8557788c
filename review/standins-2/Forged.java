import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** The list of workers holds an entry of another writer, without some of the fields. */
final class Forged {
  private static final long WORK_MS = 85;
  private static final long SEND_PERIOD_MS = 50;
  private static final int REWRITES = 12;
  private static final long REWRITE_PERIOD_MS = Worker.HEARTBEAT_MS;

  private Forged() {}

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments[0], Forged::run);
  }

  private static int run(Rig rig) throws Exception {
    ObjectNode config = Rig.configuration(7);
    Rig.addRoute(config, "order", "non_idempotent", "member-portal", 600);
    rig.store.put("op", "config", config);
    for (int i = 0; i < 3; i++) {
      rig.addWorker("i-portal-" + i, "member-portal", false, Set.of(), Worker.sound(WORK_MS));
    }
    for (int i = 1; i <= 3; i++) {
      rig.addNode("front-almaty-a-" + i, rig.store.address());
    }
    rig.awaitReady();
    Set<String> runElsewhere = ConcurrentHashMap.newKeySet();
    HttpServer other = startOther(rig, runElsewhere);
    try (Traffic traffic = new Traffic(rig, "POST", "/order/2f", 600, 2_000)) {
      traffic.start(SEND_PERIOD_MS);
      Thread.sleep(3_000);
      for (int i = 0; i < REWRITES; i++) {
        if (Rig.TROUBLE) {
          rig.store.put("servers", "billing-7", entryOf(other));
        }
        Thread.sleep(REWRITE_PERIOD_MS);
      }
      List<Client.Outcome> outcomes = traffic.stop();
      long lost = outcomes.stream().filter(o -> o.status() != 200).count();
      rig.record.say(
          "orders: %d, run by a server that is no worker: %d, without a success: %d"
              .formatted(outcomes.size(), runElsewhere.size(), lost));
      return runElsewhere.isEmpty() ? Rig.HELD : Rig.BROKEN;
    } finally {
      other.stop(0);
    }
  }

  /** Returns an entry that lacks {@code sequence}, and whose version is a number and no text. */
  private static ObjectNode entryOf(HttpServer server) {
    InetSocketAddress address = server.getAddress();
    return Store.JSON
        .createObjectNode()
        .put("service", "member-portal")
        .put("address", address.getHostString() + ":" + address.getPort())
        .put("zone", "almaty-a")
        .put("version", 3)
        .put("slots", 6)
        .put("state", "ready");
  }

  /** Starts a server that belongs to no service of the configuration and takes any POST. */
  private static HttpServer startOther(Rig rig, Set<String> runs) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(rig.nextIp(), 0), 64);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", exchange -> runElsewhere(rig, runs, exchange));
    server.start();
    return server;
  }

  private static void runElsewhere(Rig rig, Set<String> runs, HttpExchange exchange)
      throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
      runs.add(id);
      rig.record.add("run", "id", id, "at", "billing-7", "path", exchange.getRequestURI());
      byte[] body = "stored".getBytes(StandardCharsets.US_ASCII);
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
