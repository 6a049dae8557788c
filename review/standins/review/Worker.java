package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;

/** A sound worker of a service: registers in the store, runs requests and answers all of them. */
final class Worker implements AutoCloseable {

  private final String id;
  private final String service;
  private final long workMs;
  private final Semaphore slots;
  private final Record record;
  private final HttpServer server;
  private final Map<String, Long> runs = new ConcurrentHashMap<>();

  Worker(String id, String service, String host, int slots, long workMs, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.workMs = workMs;
    this.slots = new Semaphore(slots);
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(host, 0), 1_000);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  String service() {
    return service;
  }

  String id() {
    return id;
  }

  /** Returns the requests that began to run here, by id, with the time of their begin. */
  Map<String, Long> runs() {
    return runs;
  }

  /** Writes the entry of this worker to the store. */
  void register(Store store, String zone, int slotCount, List<String> models) {
    ObjectNode entry = Store.JSON.createObjectNode();
    entry
        .put("service", service)
        .put("address", server.getAddress().getHostString() + ":" + server.getAddress().getPort())
        .put("zone", zone)
        .put("version", "1")
        .put("slots", slotCount)
        .put("state", "ready")
        .put("coldLeftMs", 0)
        .put("sequence", 1)
        .put("born", System.currentTimeMillis());
    models.forEach(
        model ->
            entry
                .withArray("models")
                .addObject()
                .put("name", model)
                .put("version", 1)
                .putArray("adapters"));
    store.put("servers", id, entry);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      String path = exchange.getRequestURI().getPath();
      if (expected != null && !expected.equals(id)) {
        answer(exchange, 421, false, new byte[0]);
      } else if (path.equals("/report")) {
        answer(exchange, 200, false, report());
      } else {
        run(exchange, body);
      }
    } finally {
      exchange.close();
    }
  }

  private byte[] report() throws IOException {
    ObjectNode report = Store.JSON.createObjectNode();
    report.put("stage", "prefill_decode").put("busy", false).put("sequence", 0);
    report
        .putArray("models")
        .addObject()
        .put("name", "model")
        .put("version", 1)
        .putArray("adapters");
    return Store.JSON.writeValueAsBytes(report);
  }

  private void run(HttpExchange exchange, byte[] body) throws IOException {
    String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
    slots.acquireUninterruptibly();
    try {
      runs.putIfAbsent(request, Clock.nowMs());
      record.add("run      %s at %s of %s, %d bytes", request, id, service, body.length);
      Clock.sleep(workMs);
    } finally {
      slots.release();
    }
    exchange.getResponseHeaders().set("X-Request-Id", request);
    answer(exchange, 200, true, ("served by " + service).getBytes());
  }

  private void answer(HttpExchange exchange, int status, boolean signed, byte[] body)
      throws IOException {
    if (signed) {
      exchange.getResponseHeaders().set("X-Server-Seal", id);
    }
    exchange.getResponseHeaders().set("X-Instance-Id", id);
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      exchange.getResponseBody().write(body);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
