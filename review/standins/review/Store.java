package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The platform's metadata store, form "table": linearizable, loses nothing, and answers each call
 * after a fixed time. A call takes effect at the end of that time, just before its answer is sent.
 */
final class Store implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_PAGE_ROWS = 500;
  private static final int MAX_PAGE_BYTES = 1_000_000;

  private final HttpServer server;
  private final Map<String, TreeMap<String, StoredRow>> tables = new HashMap<>();
  private final AtomicLong answerMs = new AtomicLong(4);
  private long version;
  private volatile Consumer<String> snapshotListener = table -> {};

  private record StoredRow(byte[] value, long version, boolean removed) {}

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 1_000);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getHostString() + ":" + server.getAddress().getPort();
  }

  /** Sets how long each call takes. */
  void setAnswerMs(long newAnswerMs) {
    answerMs.set(newAnswerMs);
  }

  /** Sets the listener that is called when the first page of a table has been read. */
  void setSnapshotListener(Consumer<String> listener) {
    snapshotListener = listener;
  }

  /** Writes a row as the operator or a worker does, and returns its version. */
  synchronized long put(String table, String key, Object value) {
    version++;
    try {
      table(table).put(key, new StoredRow(JSON.writeValueAsBytes(value), version, false));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    notifyAll();
    return version;
  }

  private TreeMap<String, StoredRow> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = query(exchange);
      String path = exchange.getRequestURI().getPath();
      if (!path.equals("/rows-feed")) {
        Thread.sleep(answerMs.get());
      }
      switch (path) {
        case "/rows-tx" -> transact(exchange, JSON.readTree(body));
        case "/rows-get" -> read(exchange, query);
        case "/rows-feed" -> feed(exchange, query);
        default -> answer(exchange, 404, JSON.createObjectNode());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String text = exchange.getRequestURI().getRawQuery();
    if (text != null) {
      for (String part : text.split("&")) {
        String[] pair = part.split("=", 2);
        values.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private void transact(HttpExchange exchange, JsonNode body) throws IOException {
    ObjectNode reply = JSON.createObjectNode();
    int status;
    synchronized (this) {
      boolean holds = true;
      for (JsonNode row : body.path("expected")) {
        StoredRow stored = table(row.path("table").asText()).get(row.path("key").asText());
        long storedVersion = stored == null || stored.removed ? 0 : stored.version;
        holds &= storedVersion == row.path("ver").asLong();
      }
      if (holds) {
        version++;
        for (JsonNode row : body.path("writes")) {
          byte[] value = Base64.getDecoder().decode(row.path("value").asText());
          table(row.path("table").asText())
              .put(row.path("key").asText(), new StoredRow(value, version, false));
        }
        for (JsonNode row : body.path("remove")) {
          table(row.path("table").asText())
              .put(row.path("key").asText(), new StoredRow(new byte[0], version, true));
        }
        notifyAll();
      } else {
        ArrayNode rows = reply.putArray("rows");
        for (JsonNode row : body.path("expected")) {
          String table = row.path("table").asText();
          String key = row.path("key").asText();
          StoredRow stored = table(table).get(key);
          if (stored != null && !stored.removed) {
            rows.add(encode(table, key, stored));
          }
        }
      }
      status = holds ? 200 : 412;
      reply.put("ver", version).put("nowMs", Clock.nowMs());
    }
    answer(exchange, status, reply);
  }

  private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
    String table = query.get("table");
    String from = query.getOrDefault("from", "");
    int limit =
        Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_PAGE_ROWS)));
    ObjectNode reply = JSON.createObjectNode();
    ArrayNode rows = reply.putArray("rows");
    boolean hasMore = false;
    synchronized (this) {
      int bytes = 0;
      for (Map.Entry<String, StoredRow> entry : table(table).tailMap(from).entrySet()) {
        if (entry.getValue().removed) {
          continue;
        }
        bytes += entry.getValue().value.length;
        if (rows.size() == limit || bytes > MAX_PAGE_BYTES) {
          hasMore = true;
          break;
        }
        rows.add(encode(table, entry.getKey(), entry.getValue()));
      }
      reply.put("hasMore", hasMore).put("ver", version).put("nowMs", Clock.nowMs());
    }
    answer(exchange, 200, reply);
    if (from.isEmpty()) {
      snapshotListener.accept(table);
    }
  }

  private void feed(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.get("after"));
    long untilMs = Clock.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    ObjectNode reply = JSON.createObjectNode();
    Thread.sleep(answerMs.get());
    synchronized (this) {
      List<Map.Entry<String, StoredRow>> changed = changedSince(table, after);
      while (changed.isEmpty() && Clock.nowMs() < untilMs) {
        wait(Math.max(1, untilMs - Clock.nowMs()));
        changed = changedSince(table, after);
      }
      ArrayNode rows = reply.putArray("rows");
      changed.forEach(entry -> rows.add(encode(table, entry.getKey(), entry.getValue())));
      reply.put("ver", version).put("nowMs", Clock.nowMs());
    }
    answer(exchange, 200, reply);
  }

  private List<Map.Entry<String, StoredRow>> changedSince(String table, long after) {
    List<Map.Entry<String, StoredRow>> changed = new ArrayList<>();
    table(table).entrySet().stream()
        .filter(entry -> entry.getValue().version > after)
        .sorted((a, b) -> Long.compare(a.getValue().version, b.getValue().version))
        .forEach(changed::add);
    return changed;
  }

  private static ObjectNode encode(String table, String key, StoredRow row) {
    ObjectNode node = JSON.createObjectNode();
    node.put("table", table).put("part", "").put("key", key).put("ver", row.version);
    if (row.removed) {
      return node.put("removed", true);
    }
    return node.put("value", Base64.getEncoder().encodeToString(row.value));
  }

  private static void answer(HttpExchange exchange, int status, ObjectNode body)
      throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
