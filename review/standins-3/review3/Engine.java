package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for a sound model worker with adapters: runs requests and carries out orders. */
final class Engine implements AutoCloseable {

  static final String MODEL = "m0";
  static final String SERVICE = "drafting-models";
  static final int SLOTS = 64;
  static final int ADAPTER_SLOTS = 17;

  private static final long MODEL_LOAD_MS = 5_700;
  private static final long ADAPTER_LOAD_MS = 250;
  private static final long HEARTBEAT_MS = 1_200;
  private static final int EVENTS = 8;
  private static final long EVENT_MS = 15;

  private final String id;
  private final String zone;
  private final long born = System.currentTimeMillis();
  private final Store store;
  private final Record record;
  private final HttpServer server;
  private final Map<String, Long> adapters = new TreeMap<>();
  private final Map<String, Integer> runsByAdapter = new HashMap<>();
  private final Set<String> coming = new LinkedHashSet<>();
  private final List<Order> orders = new ArrayList<>();
  private boolean hasModel;
  private boolean isBusy;
  private long sequence;
  private int running;

  /** An order that reached this worker. */
  record Order(long atMs, String worker, String holder, long fencing, String what, int status) {}

  /** Starts a worker; one that joins later holds no model. */
  Engine(String id, String zone, boolean hasModel, Store store, Record record) throws IOException {
    this.id = id;
    this.hasModel = hasModel;
    this.zone = zone;
    this.store = store;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    Thread.ofVirtual().start(this::beat);
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  private void beat() {
    try {
      while (true) {
        store.write("servers", id, entry());
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized Map<String, Object> entry() {
    return Json.object(
        "service", SERVICE,
        "address", "127.0.0.1:" + server.getAddress().getPort(),
        "zone", zone,
        "version", "v1",
        "slots", SLOTS,
        "state", "ready",
        "coldLeftMs", 0,
        "sequence", sequence,
        "born", born,
        "models", models());
  }

  private List<Object> models() {
    if (!hasModel) {
      return List.of();
    }
    List<String> held = new ArrayList<>();
    adapters.forEach((name, version) -> held.add(name + "@" + version));
    return List.of(Json.object("name", MODEL, "version", 1, "adapters", held));
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      answer(exchange, 421, Map.of());
      return;
    }
    switch (exchange.getRequestURI().getPath()) {
      case "/report" -> answer(exchange, 200, report());
      case "/order" -> answer(exchange, carryOut(Json.parseObject(body)), Map.of());
      default -> run(exchange);
    }
  }

  private static void answer(HttpExchange exchange, int status, Object body) throws IOException {
    byte[] text = Json.write(body).getBytes(StandardCharsets.UTF_8);
    if (status == 421) {
      exchange.getResponseHeaders().set("X-Not-Executed", "1");
    }
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, text.length);
    exchange.getResponseBody().write(text);
    exchange.close();
  }

  private synchronized Map<String, Object> report() {
    List<String> onTheWay = new ArrayList<>();
    coming.forEach(name -> onTheWay.add(MODEL + "/" + name + "@1"));
    return Json.object(
        "stage", "prefill_decode", "models", models(), "busy", isBusy, "sequence", sequence,
        "waiting", 0, "running", running, "coming", onTheWay, "kvUsed", 0, "kvTotal", 122_239,
        "handleCount", 0);
  }

  private synchronized int carryOut(Map<String, Object> order) {
    String what = order.get("operation") + " " + order.getOrDefault("adapter", "");
    int status = status(order);
    Order received =
        new Order(
            record.nowMs(),
            id,
            (String) order.get("holder"),
            (long) order.get("fencingToken"),
            what,
            status);
    orders.add(received);
    record.add(
        "order %s %s holder %s fencing %d -> %d", id, what, received.holder, received.fencing,
        status);
    return status;
  }

  private int status(Map<String, Object> order) {
    String adapter = (String) order.get("adapter");
    boolean isLoad = order.get("operation").equals("load");
    boolean isStale = order.containsKey("expected") && (long) order.get("expected") != sequence;
    if (adapter == null) {
      return loadModel(isLoad, isStale);
    }
    if (isBusy || !hasModel) {
      return 409;
    }
    if (isLoad == adapters.containsKey(adapter) && !coming.contains(adapter)) {
      return 200;
    }
    if (isStale) {
      return 409;
    }
    if (isLoad && coming.contains(adapter)) {
      return 202;
    }
    sequence++;
    if (!isLoad) {
      boolean isUsed = runsByAdapter.containsKey(adapter);
      adapters.remove(adapter);
      return isUsed ? 202 : 200;
    }
    if (adapters.size() + coming.size() >= ADAPTER_SLOTS) {
      record.add("LIMIT %s is ordered to hold more than %d adapters", id, ADAPTER_SLOTS);
    }
    coming.add(adapter);
    Thread.ofVirtual().start(() -> finishLoad(adapter));
    return 202;
  }

  private int loadModel(boolean isLoad, boolean isStale) {
    if (isLoad && hasModel) {
      return 200;
    }
    if (!isLoad || isBusy || isStale) {
      return 409;
    }
    sequence++;
    isBusy = true;
    Thread.ofVirtual().start(this::finishModel);
    return 202;
  }

  private void finishModel() {
    sleep(MODEL_LOAD_MS);
    synchronized (this) {
      isBusy = false;
      hasModel = true;
    }
  }

  private void finishLoad(String adapter) {
    sleep(ADAPTER_LOAD_MS);
    synchronized (this) {
      coming.remove(adapter);
      adapters.put(adapter, 1L);
    }
  }

  private void run(HttpExchange exchange) throws IOException {
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    String model = exchange.getRequestHeaders().getFirst("X-Model");
    String adapter = model.substring(model.indexOf('/') + 1);
    exchange.getResponseHeaders().set("X-Request-Id", requestId);
    synchronized (this) {
      if (!adapters.containsKey(adapter)) {
        answer(exchange, 421, Map.of());
        return;
      }
      running++;
      runsByAdapter.merge(adapter, 1, Integer::sum);
    }
    record.add("run %s request %s adapter %s", id, requestId, adapter);
    exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
    exchange.getResponseHeaders().set("X-Server-Seal", "seal-" + id);
    exchange.getResponseHeaders().set("X-Weight-Versions", "1");
    try {
      exchange.sendResponseHeaders(200, 0);
      OutputStream out = exchange.getResponseBody();
      for (int event = 1; event <= EVENTS; event++) {
        sleep(EVENT_MS);
        out.write(("id: " + event + "\ndata: token\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    } finally {
      exchange.close();
      synchronized (this) {
        running--;
        runsByAdapter.computeIfPresent(adapter, (name, runs) -> runs == 1 ? null : runs - 1);
      }
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
