package org.apricotstand.standin.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.apricotstand.control.ControlThread;
import org.apricotstand.engine.EngineState;
import org.apricotstand.http.HttpClient;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.settings.InstanceSettings;

/**
 * Model engine that generates fixed text and simulates the slots, batches, caches and faults of a
 * real one. {@code GET /events} returns the events as JSON lines; {@code POST /faults} sets faults,
 * with the fields of {@link EngineFaults}.
 *
 * <pre>{@code
 * StandInEngine engine = StandInEngine.start(group, http, settings);
 * List<EngineEvent> events = engine.events();
 * }</pre>
 */
public final class StandInEngine implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long REBIND_RETRY_INTERVAL_MS = 20;
  private static final long SNAPSHOTS_PER_REPORT_LAG = 4;

  private final EngineSettings settings;
  private final EventLoopGroup group;
  private final HttpClient http;
  private final ControlThread thread = new ControlThread();
  private final EngineFaults faults;
  private final EngineEventLog eventLog;
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final InetSocketAddress address;
  private volatile HttpServer server;
  private EngineProcess process;
  private volatile boolean closed;

  private record Snapshot(long atMs, EngineState state) {}

  private StandInEngine(EventLoopGroup group, HttpClient http, EngineSettings settings) {
    this.settings = settings;
    this.group = group;
    this.http = http;
    this.faults = new EngineFaults(settings);
    this.eventLog = new EngineEventLog(settings.name());
    this.process = newProcess();
    this.server = startServer(InstanceSettings.parseAddress(settings.address()));
    this.address = server.address();
    long lagMs = settings.behavior().reportLagMs();
    if (lagMs > 0) {
      thread.executeEvery(Math.max(1, lagMs / SNAPSHOTS_PER_REPORT_LAG), this::takeSnapshot);
    }
  }

  /** Starts an engine and its HTTP server. */
  public static StandInEngine start(
      EventLoopGroup group, HttpClient http, EngineSettings settings) {
    return new StandInEngine(group, http, settings);
  }

  /** Returns the address that the engine listens on. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns all events so far, over all incarnations. */
  public List<EngineEvent> events() {
    return eventLog.events();
  }

  /** Returns the statistics of the batch sizes so far. */
  public BatchStatistics statistics() {
    return eventLog.statistics(settings.maxBatch());
  }

  private EngineProcess newProcess() {
    return new EngineProcess(
        settings, faults, eventLog, http, thread, this::crash, System.nanoTime());
  }

  private HttpServer startServer(InetSocketAddress local) {
    return HttpServer.start(
        group, local, HttpLimits.DEFAULT, exchange -> thread.execute(() -> handle(exchange)));
  }

  private void handle(HttpExchange exchange) {
    switch (exchange.request().path()) {
      case "/v1/completions", "/v1/chat/completions" ->
          process.generate(exchange, parseBody(exchange));
      case "/v1/load_lora_adapter" -> process.load(exchange, parseBody(exchange));
      case "/v1/unload_lora_adapter" -> process.unload(exchange, parseBody(exchange));
      case "/v1/cancel" -> process.cancel(exchange, parseBody(exchange));
      case "/v1/resume" -> process.resume(exchange, parseBody(exchange));
      case "/v1/state" -> exchange.respondJson(200, toJson(reportedState()));
      case "/v1/cache_events" ->
          exchange.respondJson(200, toJson(process.cacheEvents(firstEventNumber(exchange))));
      case "/events" -> respondEvents(exchange, events());
      case "/statistics" -> exchange.respondJson(200, toJson(statistics()));
      case "/faults" -> setFaults(exchange, parseBody(exchange));
      default -> exchange.respondJson(404, "{}");
    }
  }

  private static long firstEventNumber(HttpExchange exchange) {
    String query = exchange.request().query();
    return query.startsWith("from=") ? Long.parseLong(query.substring("from=".length())) : 0;
  }

  private void setFaults(HttpExchange exchange, JsonNode changes) {
    faults.apply(changes);
    exchange.respondJson(200, "{}");
    if (changes.path("crash").asBoolean()) {
      crash();
    }
  }

  private void takeSnapshot() {
    long nowMs = ControlThread.nowMs();
    snapshots.add(new Snapshot(nowMs, process.state()));
    while (snapshots.size() > 1
        && snapshots.peek().atMs() < nowMs - settings.behavior().reportLagMs()) {
      snapshots.remove();
    }
  }

  private EngineState reportedState() {
    return snapshots.isEmpty() ? process.state() : snapshots.peek().state();
  }

  /** Terminates the process; after the cold start time a new one starts on the same address. */
  private void crash() {
    process.terminate();
    server.close();
    snapshots.clear();
    thread.executeAt(ControlThread.nowMs() + settings.behavior().coldStartMs(), this::restart);
  }

  private void restart() {
    if (closed) {
      return;
    }
    try {
      server = startServer(address);
    } catch (RuntimeException e) {
      // A selector releases a closed socket with a delay, so the address may still be in use.
      thread.executeAt(ControlThread.nowMs() + REBIND_RETRY_INTERVAL_MS, this::restart);
      return;
    }
    process = newProcess();
  }

  private static void respondEvents(HttpExchange exchange, List<EngineEvent> events) {
    String lines = events.stream().map(event -> toJson(event) + "\n").collect(Collectors.joining());
    exchange.respond(200, Map.of("content-type", "application/x-ndjson"), toUtf8(lines));
  }

  private static JsonNode parseBody(HttpExchange exchange) {
    try {
      return JSON.readTree(exchange.request().body());
    } catch (IOException e) {
      return JSON.createObjectNode();
    }
  }

  static String errorBody(String code) {
    return toJson(Map.of("error", Map.of("code", code)));
  }

  static String toJson(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static byte[] toUtf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    closed = true;
    server.close();
    thread.stop();
  }
}
