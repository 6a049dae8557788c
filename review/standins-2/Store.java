import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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

/** The platform's metadata store, without part names and objects, which the instances don't use. */
final class Store implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int MAX_PAGE_ROWS = 500;

  private final HttpServer server;
  private final Map<String, TreeMap<String, RowState>> tables = new HashMap<>();
  private long version;

  private record RowState(byte[] value, long version, boolean removed) {}

  Store(String ip) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Writes a row as the operator or a worker does; returns the version, its acknowledgement. */
  synchronized long put(String table, String key, JsonNode value) {
    version++;
    byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
    table(table).put(key, new RowState(bytes, version, false));
    notifyAll();
    return version;
  }

  synchronized void remove(String table, String key) {
    RowState row = table(table).get(key);
    if (row != null && !row.removed) {
      version++;
      table(table).put(key, new RowState(new byte[0], version, true));
      notifyAll();
    }
  }

  private TreeMap<String, RowState> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = queryOf(exchange);
      ObjectNode answer = JSON.createObjectNode();
      int status =
          switch (exchange.getRequestURI().getPath()) {
            case "/rows-get" -> get(query, answer);
            case "/rows-feed" -> feed(query, answer);
            case "/rows-tx" -> commit(JSON.readTree(body), answer);
            default -> 404;
          };
      byte[] bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> queryOf(HttpExchange exchange) {
    Map<String, String> fields = new HashMap<>();
    String query = exchange.getRequestURI().getRawQuery();
    for (String field : query == null ? new String[0] : query.split("&")) {
      String[] pair = field.split("=", 2);
      fields.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return fields;
  }

  private synchronized int get(Map<String, String> query, ObjectNode answer) {
    int limit =
        Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_PAGE_ROWS)));
    List<String> keys = new ArrayList<>();
    table(query.get("table"))
        .tailMap(query.getOrDefault("from", ""))
        .forEach(
            (key, row) -> {
              if (!row.removed) {
                keys.add(key);
              }
            });
    ArrayNode rows = answer.putArray("rows");
    keys.stream().limit(limit).forEach(key -> addRow(rows, query.get("table"), key));
    answer.put("hasMore", keys.size() > limit);
    addVersion(answer);
    return 200;
  }

  private synchronized int feed(Map<String, String> query, ObjectNode answer)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long untilMs = RunRecord.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    List<String> changed = changedSince(query.get("table"), after);
    while (changed.isEmpty() && RunRecord.nowMs() < untilMs) {
      wait(Math.max(1, untilMs - RunRecord.nowMs()));
      changed = changedSince(query.get("table"), after);
    }
    ArrayNode rows = answer.putArray("rows");
    changed.forEach(key -> addRow(rows, query.get("table"), key));
    addVersion(answer);
    return 200;
  }

  private List<String> changedSince(String table, long after) {
    return table(table).entrySet().stream()
        .filter(entry -> entry.getValue().version > after)
        .sorted((a, b) -> Long.compare(a.getValue().version, b.getValue().version))
        .map(Map.Entry::getKey)
        .toList();
  }

  private synchronized int commit(JsonNode call, ObjectNode answer) {
    boolean holds = true;
    for (JsonNode condition : call.path("expected")) {
      RowState row = table(condition.path("table").asText()).get(condition.path("key").asText());
      long known = row == null || row.removed ? 0 : row.version;
      holds &= known == condition.path("ver").asLong();
    }
    if (!holds) {
      ArrayNode rows = answer.putArray("rows");
      for (JsonNode condition : call.path("expected")) {
        String table = condition.path("table").asText();
        RowState row = table(table).get(condition.path("key").asText());
        if (row != null && !row.removed) {
          addRow(rows, table, condition.path("key").asText());
        }
      }
      addVersion(answer);
      return 412;
    }
    version++;
    for (JsonNode write : call.path("writes")) {
      byte[] value = Base64.getDecoder().decode(write.path("value").asText());
      table(write.path("table").asText())
          .put(write.path("key").asText(), new RowState(value, version, false));
    }
    notifyAll();
    addVersion(answer);
    return 200;
  }

  private void addRow(ArrayNode rows, String table, String key) {
    RowState row = table(table).get(key);
    ObjectNode node = rows.addObject().put("table", table).put("part", "").put("key", key);
    node.put("value", Base64.getEncoder().encodeToString(row.value)).put("ver", row.version);
    if (row.removed) {
      node.put("removed", true);
    }
  }

  private void addVersion(ObjectNode answer) {
    answer.put("ver", version).put("nowMs", RunRecord.nowMs());
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
