package org.apricotstand.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apricotstand.control.ControlThread;
import org.apricotstand.http.HttpExchange;
import org.apricotstand.http.HttpLimits;
import org.apricotstand.http.HttpServer;
import org.apricotstand.platform.InstanceList.ListEntry;
import org.apricotstand.platform.TableService.CommitResult;
import org.apricotstand.platform.TableService.Row;
import org.apricotstand.platform.TableService.Transaction;
import org.apricotstand.settings.InstanceSettings;

/**
 * Platform in memory, served over HTTP. All state is confined to one thread. {@code POST /faults}
 * sets faults, with the fields of {@link PlatformFaults}; {@code GET /counters} returns the reads
 * and writes, {@code GET /loads} the loads of the weight store.
 */
public final class StandInPlatform implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final ControlThread thread = new ControlThread();
  private final Tables tables = new Tables();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final PlatformFaults faults = new PlatformFaults();
  private final OperationCounters counters = new OperationCounters();
  private final LaggingList instances;
  private final WeightStore weights;
  private final HttpServer server;

  private StandInPlatform(EventLoopGroup group, PlatformSettings settings) {
    this.instances = new LaggingList(settings.listLagMs());
    this.weights =
        new WeightStore(
            settings.loadsPerSecond(),
            settings.loadBurst(),
            settings.loadsInFlight(),
            settings.loadMs());
    this.server =
        HttpServer.start(
            group,
            InstanceSettings.parseAddress(settings.address()),
            HttpLimits.DEFAULT,
            exchange -> thread.execute(() -> handle(exchange)));
  }

  /** Starts a platform. */
  public static StandInPlatform start(EventLoopGroup group, PlatformSettings settings) {
    return new StandInPlatform(group, settings);
  }

  /** Returns the URL of the platform. */
  public String url() {
    InetSocketAddress address = server.address();
    return "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the loads of the weight store so far. */
  public List<WeightLoad> loads() {
    return CompletableFuture.supplyAsync(weights::loads, thread).join();
  }

  /** Returns the numbers of reads and writes so far, as JSON text. */
  public String counters() {
    return CompletableFuture.supplyAsync(() -> encode(counters.totals()), thread).join();
  }

  private void handle(HttpExchange exchange) {
    String[] parts = exchange.request().path().split("/");
    String service = parts.length > 1 ? parts[1] : "";
    switch (service) {
      case "faults" -> setFaults(exchange);
      case "counters" -> exchange.respondJson(200, encode(counters.totals()));
      case "loads" -> exchange.respondJson(200, encode(weights.loads()));
      case "tables", "objects", "weights", "instances" -> serve(exchange, service, parts);
      default -> exchange.respondJson(NOT_FOUND, "{}");
    }
  }

  private void setFaults(HttpExchange exchange) {
    try {
      faults.apply(JSON.readTree(exchange.request().body()));
      exchange.respondJson(200, "{}");
    } catch (IOException | IllegalArgumentException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private void serve(HttpExchange exchange, String service, String[] parts) {
    switch (faults.outage(service)) {
      case REFUSE -> exchange.respondJson(UNAVAILABLE, "{}");
      case ABORT -> exchange.abort();
      case HANG -> {}
      case NONE -> {
        long slowMs = faults.slowMs(service);
        if (slowMs == 0) {
          perform(exchange, service, parts);
        } else {
          thread.executeAt(ControlThread.nowMs() + slowMs, () -> perform(exchange, service, parts));
        }
      }
      default -> throw new IllegalStateException();
    }
  }

  private void perform(HttpExchange exchange, String service, String[] parts) {
    boolean write = !exchange.request().method().equals("GET");
    counters.count(service, write, ControlThread.nowMs());
    HttpExchange answering =
        write && faults.takeLostAnswer(service) ? new LostAnswer(exchange) : exchange;
    try {
      switch (service) {
        case "tables" -> handleTable(answering, parts);
        case "objects" -> handleObject(answering, decode(parts[2]));
        case "weights" -> load(answering, parts);
        default -> handleInstances(answering, parts);
      }
    } catch (IOException e) {
      exchange.respondJson(400, "{}");
    }
  }

  private void handleTable(HttpExchange exchange, String[] parts) throws IOException {
    if (parts[2].equals("commit")) {
      CommitResult result =
          tables.commit(JSON.readValue(exchange.request().body(), Transaction.class));
      boolean committed = result instanceof CommitResult.Committed;
      exchange.respondJson(committed ? 200 : CONFLICT, encode(result));
    } else if (parts.length > 4) {
      Optional<Row> row = tables.read(decode(parts[2]), decode(parts[4]));
      exchange.respondJson(row.isPresent() ? 200 : NOT_FOUND, row.map(this::encode).orElse("{}"));
    } else {
      String prefix = decode(exchange.request().query().replaceFirst("^prefix=", ""));
      exchange.respondJson(200, encode(tables.scan(decode(parts[2]), prefix)));
    }
  }

  private void handleObject(HttpExchange exchange, String key) {
    if (exchange.request().method().equals("PUT")) {
      objects.put(key, exchange.request().body());
      exchange.respondJson(200, "{}");
    } else if (objects.containsKey(key)) {
      exchange.respond(200, Map.of(), objects.get(key));
    } else {
      exchange.respondJson(NOT_FOUND, "{}");
    }
  }

  private void load(HttpExchange exchange, String[] parts) {
    String adapterVersion = parts.length > 3 ? decode(parts[2]) + "@" + decode(parts[3]) : "";
    long doneMs = weights.start(adapterVersion, ControlThread.nowMs());
    thread.executeAt(
        doneMs,
        () -> {
          weights.finish();
          exchange.respondJson(200, "{}");
        });
  }

  private void handleInstances(HttpExchange exchange, String[] parts) throws IOException {
    long nowMs = ControlThread.nowMs();
    switch (exchange.request().method()) {
      case "POST" -> {
        instances.put(JSON.readValue(exchange.request().body(), ListEntry.class), nowMs);
        exchange.respondJson(200, "{}");
      }
      case "DELETE" -> {
        instances.remove(decode(parts[2]), nowMs);
        exchange.respondJson(200, "{}");
      }
      default -> exchange.respondJson(200, encode(instances.shown(nowMs)));
    }
  }

  private static String decode(String part) {
    return URLDecoder.decode(part, StandardCharsets.UTF_8);
  }

  private String encode(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    server.close();
    thread.stop();
  }
}
