package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store: rows with versions, conditional transactions and a feed. In a
 * drill it is away for a moment and comes back from a copy some seconds old.
 */
final class Store implements AutoCloseable {

  private static final long TX_MS = 4;
  private static final long COPY_PERIOD_MS = 100;
  private static final int PAGE_ROWS = 500;
  private static final int WRITES_PER_S = 400;

  private final Record record;
  private final HttpServer server;
  private final Deque<Copy> copies = new ArrayDeque<>();
  private final Deque<Long> writeTimesMs = new ArrayDeque<>();
  private State state = new State(0, new TreeMap<>(), new TreeMap<>());
  private boolean away;
  private long era = 1;
  private long rejectedWrites;
  private long limitedWrites;

  private record Key(String table, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byTable = table.compareTo(other.table);
      return byTable != 0 ? byTable : key.compareTo(other.key);
    }
  }

  private record Stored(String value, long version) {}

  private record Change(Key key, String value) {}

  /** What the store loses when it comes back from a copy. */
  private record State(long version, TreeMap<Key, Stored> rows, TreeMap<Long, List<Change>> log) {
    State copy() {
      return new State(version, new TreeMap<>(rows), new TreeMap<>(log));
    }
  }

  private record Copy(long atMs, State state) {}

  Store(Record record, InetSocketAddress address) throws IOException {
    this.record = record;
    server = HttpServer.create(address, 200);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Takes a copy now and regularly from now on. */
  void takeCopies() {
    Thread.ofVirtual().start(this::takeCopiesForever);
  }

  private void takeCopiesForever() {
    try {
      while (true) {
        takeCopy();
        Thread.sleep(COPY_PERIOD_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void takeCopy() {
    if (!away) {
      copies.addLast(new Copy(record.nowMs(), state.copy()));
    }
  }

  /** Begins a drill: no call is carried out until the store is back. */
  synchronized void goAway() {
    away = true;
    notifyAll();
    record.add("store away at version %d", state.version);
  }

  /** Ends a drill: the store is back with its newest copy that is not younger than the time. */
  synchronized void comeBack(long copyMs) {
    Copy chosen = copies.getFirst();
    for (Copy copy : copies) {
      chosen = copy.atMs <= copyMs ? copy : chosen;
    }
    state = chosen.state.copy();
    copies.clear();
    era++;
    away = false;
    record.add(
        "store back with the copy of %d ms, version %d, era %d, leases %s",
        chosen.atMs, state.version, era, leases());
  }

  synchronized List<String> leases() {
    List<String> leases = new ArrayList<>();
    state.rows.forEach(
        (key, row) -> {
          if (key.table.equals("leases")) {
            String holder = new String(Base64.getDecoder().decode(row.value));
            leases.add(key.key + "=" + holder + "@" + row.version);
          }
        });
    return leases;
  }

  synchronized long version() {
    return state.version;
  }

  synchronized long rejectedWrites() {
    return rejectedWrites;
  }

  synchronized long limitedWrites() {
    return limitedWrites;
  }

  /** Writes a row as the operator or a worker; returns false while the store is away. */
  synchronized boolean write(String table, String key, Object value) {
    if (away) {
      return false;
    }
    String text = value == null ? null : Json.write(value);
    String encoded =
        text == null
            ? null
            : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    apply(List.of(new Change(new Key(table, key), encoded)));
    return true;
  }

  private void apply(List<Change> changes) {
    long version = state.version + 1;
    state = new State(version, state.rows, state.log);
    for (Change change : changes) {
      if (change.value == null) {
        state.rows.remove(change.key);
      } else {
        state.rows.put(change.key, new Stored(change.value, version));
      }
    }
    state.log.put(version, changes);
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    Answer answer;
    try {
      answer =
          switch (exchange.getRequestURI().getPath()) {
            case "/rows-tx" -> commit(new String(body, StandardCharsets.UTF_8));
            case "/rows-get" -> read(query);
            case "/rows-feed" -> feed(query);
            default -> new Answer(404, Map.of());
          };
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
    byte[] text = Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(answer.era));
    exchange.sendResponseHeaders(answer.status, text.length);
    exchange.getResponseBody().write(text);
    exchange.close();
  }

  private final class Answer {
    private final int status;
    private final Map<String, Object> body;
    private final long era;

    Answer(int status, Map<String, Object> body) {
      this.status = status;
      this.body = body;
      synchronized (Store.this) {
        era = Store.this.era;
      }
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private Map<String, Object> page(List<Object> rows, boolean hasMore) {
    return Json.object(
        "rows", rows, "hasMore", hasMore, "ver", state.version, "nowMs", record.nowMs());
  }

  private static Map<String, Object> row(Key key, String value, long version) {
    Map<String, Object> row = new LinkedHashMap<>();
    row.put("table", key.table);
    row.put("part", "");
    row.put("key", key.key);
    row.put("value", value == null ? "" : value);
    row.put("ver", version);
    if (value == null) {
      row.put("removed", true);
    }
    return row;
  }

  private synchronized Answer read(Map<String, String> query) {
    if (away) {
      return new Answer(503, Map.of());
    }
    List<Object> found = new ArrayList<>();
    boolean hasMore = false;
    Key from = new Key(query.get("table"), query.getOrDefault("from", ""));
    for (Map.Entry<Key, Stored> entry : state.rows.tailMap(from).entrySet()) {
      if (!entry.getKey().table.equals(from.table) || hasMore) {
        break;
      }
      hasMore = found.size() == PAGE_ROWS;
      if (!hasMore) {
        found.add(row(entry.getKey(), entry.getValue().value, entry.getValue().version));
      }
    }
    return new Answer(200, page(found, hasMore));
  }

  private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long untilMs = record.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
    long startEra = era;
    while (true) {
      if (away || era != startEra) {
        return new Answer(503, Map.of());
      }
      if (after > state.version) {
        return new Answer(410, Map.of());
      }
      List<Object> changed = new ArrayList<>();
      state
          .log
          .tailMap(after, false)
          .forEach(
              (version, changes) ->
                  changes.stream()
                      .filter(change -> change.key.table.equals(query.get("table")))
                      .forEach(change -> changed.add(row(change.key, change.value, version))));
      long waitMs = untilMs - record.nowMs();
      if (!changed.isEmpty() || waitMs <= 0) {
        return new Answer(200, page(changed, false));
      }
      wait(waitMs);
    }
  }

  private Answer commit(String body) throws InterruptedException {
    Thread.sleep(TX_MS);
    synchronized (this) {
      if (away) {
        return new Answer(503, Map.of());
      }
      long nowMs = record.nowMs();
      writeTimesMs.addLast(nowMs);
      while (writeTimesMs.getFirst() < nowMs - 1_000) {
        writeTimesMs.removeFirst();
      }
      if (writeTimesMs.size() > WRITES_PER_S) {
        limitedWrites++;
        return new Answer(429, Map.of());
      }
      Map<String, Object> call = Json.parseObject(body);
      List<Object> current = new ArrayList<>();
      boolean holds = true;
      for (Map<String, Object> condition : Json.objects(call.get("expected"))) {
        Key key = key(condition);
        Stored stored = state.rows.get(key);
        holds &= (stored == null ? 0 : stored.version) == (long) condition.get("ver");
        if (stored != null) {
          current.add(row(key, stored.value, stored.version));
        }
      }
      if (!holds) {
        rejectedWrites++;
        return new Answer(412, page(current, false));
      }
      List<Change> changes = new ArrayList<>();
      Json.objects(call.get("writes"))
          .forEach(write -> changes.add(new Change(key(write), (String) write.get("value"))));
      Json.objects(call.get("remove")).forEach(row -> changes.add(new Change(key(row), null)));
      apply(changes);
      return new Answer(200, page(List.of(), false));
    }
  }

  private static Key key(Map<String, Object> row) {
    return new Key((String) row.get("table"), (String) row.get("key"));
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
