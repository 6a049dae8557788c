package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** Stand-in for a sound worker of a plain service. */
final class Portal implements AutoCloseable {

  private static final long HEARTBEAT_MS = 1_200;
  private static final long WORK_MS = 10;

  private final String id;
  private final String service;
  private final String zone;
  private final long born = System.currentTimeMillis();
  private final Store store;
  private final Record record;
  private final HttpServer server;
  private final Thread heartbeats;

  Portal(String id, String service, String zone, Store store, Record record) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    heartbeats = Thread.ofVirtual().start(this::beat);
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

  private Object entry() {
    return Json.object(
        "service", service,
        "address", "127.0.0.1:" + server.getAddress().getPort(),
        "zone", zone,
        "version", "v1",
        "slots", 6,
        "state", "ready",
        "coldLeftMs", 0,
        "sequence", 0,
        "born", born);
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
    exchange.getResponseHeaders().set("X-Request-Id", requestId == null ? "" : requestId);
    if (expected != null && !expected.equals(id)) {
      exchange.getResponseHeaders().set("X-Not-Executed", "1");
      exchange.sendResponseHeaders(421, -1);
      exchange.close();
      return;
    }
    record.add("run %s of %s request %s", id, service, requestId);
    try {
      Thread.sleep(WORK_MS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    byte[] text = service.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("X-Server-Seal", "seal-" + id);
    exchange.getResponseHeaders().set("X-Instance-Id", id);
    exchange.sendResponseHeaders(200, text.length);
    exchange.getResponseBody().write(text);
    exchange.close();
  }

  @Override
  public void close() {
    heartbeats.interrupt();
    server.stop(0);
  }
}
